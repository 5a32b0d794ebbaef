// Package common holds what all programs share.
package common

// Version is the version of the programs.
const Version = "0.1.0"
