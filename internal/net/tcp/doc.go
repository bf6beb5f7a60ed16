// Package tcp serves TCP connections. A Conn queues writes without blocking the caller and reports how much of each write
// was sent, so that the caller knows whether the peer may have received it. A Handler receives the data that is read.
//
// Listen accepts connections up to the limit of a ConnLimiter, Dial opens connections. They are read in turns, each a small
// amount, and only while their handlers and, on accepted connections, their peers keep up.
package tcp
