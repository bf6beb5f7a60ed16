// Package httpserve is the server's side of HTTP/1.1 connections. It serves one request at a time on each connection, caps
// and evicts idle connections, and shuts down gracefully. The frontends that speak HTTP are built on it.
package httpserve
