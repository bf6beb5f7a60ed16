package app

import (
	"fmt"

	"rooktrestle/internal/net/httpserve"
	"rooktrestle/internal/net/membudget"
)

const (
	// clientMemoryDivisor: clients may make the process hold a quarter of its memory. The garbage collector lets the heap
	// grow to about twice what is held, and the process needs some megabytes of its own.
	clientMemoryDivisor = 4
	// healthMemoryDivisor: the health listeners have an eighth of the clients' memory to themselves, so that health checks
	// are answered whatever clients do.
	healthMemoryDivisor = 8
)

// clientMemory returns the number of bytes that clients may make a process hold that has memoryMB megabytes.
func clientMemory(memoryMB int) int64 { return int64(memoryMB) << 20 / clientMemoryDivisor }

// maxConnsInMemory returns the number of connections that take at most three quarters of the clients' memory.
func maxConnsInMemory(memoryMB int) int {
	return int(clientMemory(memoryMB) * 3 / 4 / httpserve.ConnBytes)
}

// clientMemoryText formats the state of a budget for the counters.
func clientMemoryText(budget *membudget.Budget) string {
	used, limit := budget.Used()
	counters := budget.Counters()
	return fmt.Sprintf("; memory of clients: %d of %d KB, reclaimed %d, rejected %d",
		used>>10, limit>>10, counters.Reclaimed, counters.Rejected)
}
