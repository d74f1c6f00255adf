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

// fleetCount is the number of fleets that this process has created.
var fleetCount atomic.Uint64

// subnet selects a range of loopback addresses for one fleet. Fleets of other processes most likely get other ranges,
// so a node that restarts finds its ports free.
type subnet uint16

func newSubnet() subnet {
	return subnet(xxhash.Sum64String(fmt.Sprintf("%d/%d", os.Getpid(), fleetCount.Add(1))))
}

const (
	// minSecondByte keeps the addresses of a fleet away from 127.0.0.1.
	minSecondByte = 1
	// secondByteCount is the number of values of the second byte of an address.
	secondByteCount = 250
	// hostsPerThirdByte is the number of addresses used for each value of the third byte.
	hostsPerThirdByte = 250
)

// ip returns the IP of the node with the number, counted from 0.
func (s subnet) ip(number int) string {
	second := minSecondByte + int(s)%secondByteCount
	third := (int(s)/secondByteCount + number/hostsPerThirdByte) % secondByteCount
	return fmt.Sprintf("127.%d.%d.%d", second, third, 1+number%hostsPerThirdByte)
}

// The ports of nodes lie below the range that the system uses for outgoing connections. An outgoing connection from the
// same IP could otherwise take the port of a node that has not started yet or is restarting.
const (
	firstPort = 20001
	lastPort  = 32000
)

// freeAddresses returns addresses on the IP whose ports are free during the call. It blocks the start of processes
// meanwhile: a new process holds copies of the sockets until its program begins, which would keep the ports in use.
func freeAddresses(ip string, count int) ([]string, error) {
	syscall.ForkLock.RLock()
	defer syscall.ForkLock.RUnlock()
	var addresses []string
	for port := firstPort; port <= lastPort && len(addresses) < count; port++ {
		l, err := net.Listen("tcp", net.JoinHostPort(ip, strconv.Itoa(port)))
		if err != nil {
			continue // in use: try the next port
		}
		defer func() { _ = l.Close() }()
		addresses = append(addresses, l.Addr().String())
	}
	if len(addresses) < count {
		return nil, trace.LimitExceeded("not enough free ports on %s", ip)
	}
	return addresses, nil
}
