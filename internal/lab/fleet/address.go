package fleet

import (
	"fmt"
	"net"
	"os"
	"strconv"
	"sync/atomic"
	"syscall"

	"github.com/cespare/xxhash/v2"
	"github.com/gravitational/trace"
)

// started counts the fleets of this process.
var started atomic.Uint64

// subnet is a part of the loopback addresses that a fleet has to itself, also beside the fleets of other processes.
// A node that starts again so finds its ports free.
type subnet uint16

func newSubnet() subnet {
	return subnet(xxhash.Sum64String(fmt.Sprintf("%d/%d", os.Getpid(), started.Add(1))))
}

const (
	// lowestNet keeps a fleet's addresses away from 127.0.0.1.
	lowestNet = 1
	// nets is how many values the second byte of an address may have.
	nets = 250
	// hosts is how many addresses are used below one third byte.
	hosts = 250
)

// ip returns the IP of the fleet's node of the number, from 0.
func (s subnet) ip(number int) string {
	second := lowestNet + int(s)%nets
	third := (int(s)/nets + number/hosts) % nets
	return fmt.Sprintf("127.%d.%d.%d", second, third, 1+number%hosts)
}

// The ports of nodes lie below those that systems give to outgoing connections: one from the same IP would else take the port
// of a node that has not started yet, or starts again.
const (
	firstPort = 20001
	lastPort  = 32000
)

// freeAddresses returns addresses on the IP whose ports were free a moment ago. No process is started meanwhile: until its program
// begins, it would hold copies of the sockets and so keep the ports.
func freeAddresses(ip string, count int) ([]string, error) {
	syscall.ForkLock.RLock()
	defer syscall.ForkLock.RUnlock()
	var addresses []string
	for port := firstPort; port <= lastPort && len(addresses) < count; port++ {
		l, err := net.Listen("tcp", net.JoinHostPort(ip, strconv.Itoa(port)))
		if err != nil {
			continue // taken: the next one may be free
		}
		defer func() { _ = l.Close() }()
		addresses = append(addresses, l.Addr().String())
	}
	if len(addresses) < count {
		return nil, trace.LimitExceeded("no free ports on %s", ip)
	}
	return addresses, nil
}
