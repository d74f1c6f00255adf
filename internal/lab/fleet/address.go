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

// fleetCount counts the fleets of this process.
var fleetCount atomic.Uint64

// subnet is a part of the loopback addresses that a fleet has to itself, also beside the fleets of other processes.
// A node that starts again so finds its ports free.
type subnet uint16

func newSubnet() subnet {
	return subnet(xxhash.Sum64String(fmt.Sprintf("%d/%d", os.Getpid(), fleetCount.Add(1))))
}

const (
	// minSecondByte keeps a fleet's addresses away from 127.0.0.1.
	minSecondByte = 1
	// secondByteCount is how many values the second byte of an address may have.
	secondByteCount = 250
	// hostsPerThirdByte is how many addresses are used below one third byte.
	hostsPerThirdByte = 250
)

// ip returns the IP of the fleet's node of the number, from 0.
func (s subnet) ip(number int) string {
	second := minSecondByte + int(s)%secondByteCount
	third := (int(s)/secondByteCount + number/hostsPerThirdByte) % secondByteCount
	return fmt.Sprintf("127.%d.%d.%d", second, third, 1+number%hostsPerThirdByte)
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
