// Package common holds what all programs share.
package common

// Version is the version of all programs.
const Version = "0.1.0"
