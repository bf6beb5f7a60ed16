// Rookgrpc is the previous name of grpchealth: the same command with the same flags, retained for operators' service
// units that use it. See cmd/grpchealth.
package main

import "rooktrestle/internal/app/grpchealthcmd"

func main() { grpchealthcmd.Main("rookgrpc") }
