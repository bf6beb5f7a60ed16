// Rookgrpc is the former name of grpchealth, kept for operators' units: the same command, with the same flags. See
// cmd/grpchealth.
package main

import "rooktrestle/internal/app/grpchealthcmd"

func main() { grpchealthcmd.Main("rookgrpc") }
