package main

import (
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

func check(err error) {
	if err != nil {
		panic(err)
	}
}

// ports are the ports of each machine; they are the same on all.
type ports struct{ calls, peer, admin, control, app int }

// machine is one machine with its node and its backend.
type machine struct {
	number  int
	zone    string
	ip      string
	ports   ports
	service string
	store   string
	config  string

	mu  sync.Mutex
	cmd *exec.Cmd
	// isStarted is closed with each start of the node.
	ended chan struct{}
}

func (m *machine) address(port int) string { return fmt.Sprintf("%s:%d", m.ip, port) }

// world is what a case runs in.
type world struct {
	folder   string
	tmp      string
	node     string
	began    time.Time
	mu       sync.Mutex
	record   *os.File
	store    *store
	machines []*machine
}

func newWorld(folder string) *world {
	tmp, err := os.MkdirTemp("", "review")
	check(err)
	record, err := os.Create(filepath.Join(folder, "record.txt"))
	check(err)
	node := os.Getenv("LENTILFERRYD")
	if node == "" {
		node = "target/lentilferryd"
	}
	w := &world{folder: folder, tmp: tmp, node: node, began: time.Now(), record: record}
	w.store = newStore(w.log)
	return w
}

// log writes a line to the record.
func (w *world) log(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	fmt.Fprintf(w.record, "%8.3f  %s\n", time.Since(w.began).Seconds(), fmt.Sprintf(format, args...))
}

// freePorts returns five ports that are free on the loopback addresses of n
// machines.
func freePorts(n int) ports {
	for base := 21000 + os.Getpid()%2000*5; ; base += 5 {
		free := true
		for i := 1; i <= n && free; i++ {
			for p := base; p < base+5 && free; p++ {
				l, err := net.Listen("tcp", fmt.Sprintf("127.31.%d.1:%d", i, p))
				if err != nil {
					free = false
					break
				}
				_ = l.Close()
			}
		}
		if free {
			return ports{calls: base, peer: base + 1, admin: base + 2, control: base + 3, app: base + 4}
		}
	}
}

// addMachines adds machines, one for each of the zones, with settings like those
// of a small deployment.
func (w *world) addMachines(service string, zones ...string) {
	p := freePorts(len(zones))
	for i, zone := range zones {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		check(err)
		w.store.serve(i+1, listener)
		m := &machine{
			number: i + 1, zone: zone, ip: fmt.Sprintf("127.31.%d.1", i+1), ports: p, service: service,
			store: listener.Addr().String(), config: filepath.Join(w.tmp, fmt.Sprintf("settings-%d.yaml", i+1)),
		}
		w.machines = append(w.machines, m)
		check(os.WriteFile(m.config, []byte(m.settings()), 0o600))
	}
}

// settings is deploy/settings.yaml.tmpl filled in.
func (m *machine) settings() string {
	return strings.Join([]string{
		fmt.Sprintf("id: \"sidecar-%s-%d\"", m.zone, m.number),
		"region: \"region-" + m.zone + "\"",
		"zone: \"" + m.zone + "\"",
		"callAddress: \"" + m.address(m.ports.calls) + "\"",
		"peerAddress: \"" + m.address(m.ports.peer) + "\"",
		"adminAddress: \"" + m.address(m.ports.admin) + "\"",
		"announceAddress: \"" + m.address(m.ports.control) + "\"",
		"platformProtocol: hosted",
		"platformUrl: \"http://" + m.store + "\"",
		"service: \"" + m.service + "\"",
		"upstreamAddress: \"" + m.address(m.ports.app) + "\"",
		"upstreamHealthPath: /healthz",
		"memoryLimit: \"284\"",
		"leaveNotice: 2900ms",
		"killAfter: \"6s\"",
		"retryRatio: \"0.2\"",
		"retrySlack: \"58\"",
		"retryWindow: \"10s\"",
		"gcPercent: \"25\"",
		"zonePeriod: 5s",
		"pipelineDepth: \"16\"",
		"verbosity: \"1\"",
		"",
	}, "\n")
}

// start starts a machine's node, and logs its end.
func (w *world) start(m *machine) {
	m.mu.Lock()
	defer m.mu.Unlock()
	out, err := os.OpenFile(filepath.Join(w.tmp, fmt.Sprintf("node-%d.log", m.number)), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	check(err)
	m.cmd = exec.Command(w.node, "--config", m.config)
	m.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME")}
	m.cmd.Stdout, m.cmd.Stderr = out, out
	m.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	check(m.cmd.Start())
	ended := make(chan struct{})
	m.ended = ended
	cmd := m.cmd
	w.log("node %d started", m.number)
	go func() {
		err := cmd.Wait()
		_ = out.Close()
		w.log("node %d ended: %v", m.number, err)
		close(ended)
	}()
}

// signal sends a signal to a machine's node.
func (w *world) signal(m *machine, s syscall.Signal) {
	m.mu.Lock()
	defer m.mu.Unlock()
	w.log("node %d gets %s", m.number, s)
	_ = m.cmd.Process.Signal(s)
}

// awaitEnd waits until a machine's node has ended.
func (m *machine) awaitEnd() {
	m.mu.Lock()
	ended := m.ended
	m.mu.Unlock()
	<-ended
}

// stop ends all nodes that run.
func (w *world) stop() {
	for _, m := range w.machines {
		m.mu.Lock()
		if m.cmd != nil {
			_ = m.cmd.Process.Signal(syscall.SIGCONT)
			_ = m.cmd.Process.Kill()
		}
		m.mu.Unlock()
	}
	for _, m := range w.machines {
		if m.cmd != nil {
			m.awaitEnd()
		}
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(w.tmp)
	} else {
		fmt.Println("logs in", w.tmp)
	}
	_ = w.record.Close()
}
