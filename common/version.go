// Package common holds the version that all programs share.
package common

// Version is the version of all programs.
const Version = "0.1.0"
