// Package capacity holds the benchmarks behind docs/CAPACITY.md.
package capacity
