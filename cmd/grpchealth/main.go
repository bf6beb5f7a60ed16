// Grpchealth speaks grpc.health.v1 beside an aggregator: it serves the aggregator's health to gRPC clients, and checks
// gRPC servers for it.
package main

import "rooktrestle/internal/app/grpchealthcmd"

func main() { grpchealthcmd.Main("grpchealth") }
