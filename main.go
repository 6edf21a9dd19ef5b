// Command bergamotrun is a layer-4 load balancer. Entries receive callers' datagrams, agents next to the backend servers
// terminate the flows, and contracts set the limits of each service.
package main

import (
	"os"

	"github.com/bergamotrun/bergamotrun/cmd"
)

func main() { os.Exit(cmd.Main(os.Args[1:], os.Stdout, os.Stderr)) }
