// Package tcp serves TCP connections on netpoll. A Conn queues what is written to it, without ever blocking its caller, and
// reports of each write how far it came, so that the caller knows whether what it sent may have arrived. A Handler takes
// what is read. Listen accepts connections, as many as a ConnLimiter admits; Dial and DialServerFirst open them.
package tcp
