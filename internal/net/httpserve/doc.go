// Package httpserve implements the server side of HTTP/1.1 connections. It serves one request at a time on each
// connection, caps and evicts idle connections, and shuts down gracefully. The HTTP frontends are built on it.
package httpserve
