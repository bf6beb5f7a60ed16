// Grpchealth is a sidecar of an aggregator for grpc.health.v1: it serves the aggregator's health to gRPC clients, and
// checks gRPC servers for it.
package main

import "rooktrestle/internal/app/grpchealthcmd"

func main() { grpchealthcmd.Main("grpchealth") }
