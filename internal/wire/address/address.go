// Package address checks the addresses of nodes and backend servers that come from other processes.
//
// # Usage
//
//	err := address.Check("10.0.0.9:8080")
package address

import (
	"net"
	"strconv"

	"github.com/gravitational/trace"
)

// Check returns a trace.BadParameter unless the text is a host and a port from 1 to 65535.
func Check(text string) error {
	host, port, err := net.SplitHostPort(text)
	if err != nil || host == "" {
		return trace.BadParameter("address %q is not a host and a port", text)
	}
	if number, err := strconv.ParseUint(port, 10, 16); err != nil || number == 0 {
		return trace.BadParameter("port of address %q is not from 1 to 65535", text)
	}
	return nil
}
