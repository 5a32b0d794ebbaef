// Lentilferry is the operators' command line; see package commands.
package main

import (
	"context"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"lentilferry.example/lentilferry/commands"
)

func main() {
	os.Exit(run())
}

func run() int {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	return commands.Run(ctx, commands.Environment{
		Stdout:    os.Stdout,
		Stderr:    os.Stderr,
		Transport: &http.Transport{},
		Now:       time.Now,
	}, os.Args[1:])
}
