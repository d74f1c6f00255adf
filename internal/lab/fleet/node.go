package fleet

import (
	"fmt"
	"io"
	"os"
	"os/exec"
	"sync"
	"syscall"
	"time"

	"github.com/gravitational/trace"

	"github.com/comfreyhoist/comfreyhoist/internal/lab/server"
)

// Node is one node process with its simulated backend server.
type Node struct {
	Name    string
	Zone    string
	Service string
	// IP is the address from which the node connects.
	IP string
	// Caller, Backend and Operator are the addresses of the node's own listeners. Peer is the address of the proxy in
	// front of its peer listener.
	Caller   string
	Peer     string
	Backend  string
	Operator string
	Server   *server.Server

	command []string
	output  io.Writer

	mu      sync.Mutex
	process *exec.Cmd
	// processorTime is the processor time of the processes that have ended.
	processorTime time.Duration
	// serverErr is the error that ended the backend server, if any.
	serverErr error
}

func (n *Node) setServerError(err error) {
	if err == nil {
		return
	}
	if n.output != nil {
		_, _ = fmt.Fprintf(n.output, "backend server of node %s failed: %v\n", n.Name, err)
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.serverErr = err
}

func (n *Node) serverError() error {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.serverErr
}

// Start starts the node's process, initially or after it has ended.
func (n *Node) Start() error {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.process = exec.Command(n.command[0], n.command[1:]...)
	n.process.Stdout, n.process.Stderr = n.output, n.output
	return trace.Wrap(n.process.Start())
}

// AppendFlags adds flags that take effect at the next start.
func (n *Node) AppendFlags(flags ...string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.command = append(n.command, flags...)
}

// Kill kills the process and waits until it has ended.
func (n *Node) Kill() {
	n.signal(syscall.SIGKILL)
	n.wait()
}

// Freeze suspends the process until Resume.
func (n *Node) Freeze() {
	n.signal(syscall.SIGSTOP)
}

// Resume continues a suspended process.
func (n *Node) Resume() {
	n.signal(syscall.SIGCONT)
}

// Terminate asks the process to stop, as for a planned shutdown, and waits until it has ended.
func (n *Node) Terminate() {
	n.signal(syscall.SIGTERM)
	n.wait()
}

// PID returns the process ID, or 0 if the process is not running.
func (n *Node) PID() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.process == nil || n.process.Process == nil {
		return 0
	}
	return n.process.Process.Pid
}

func (n *Node) signal(s syscall.Signal) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.process != nil && n.process.Process != nil {
		_ = n.process.Process.Signal(s)
	}
}

func (n *Node) wait() {
	n.mu.Lock()
	process := n.process
	n.process = nil
	n.mu.Unlock()
	if process != nil && process.Process != nil {
		_ = process.Wait()
		n.addProcessorTime(process.ProcessState)
	}
}

func (n *Node) addProcessorTime(state *os.ProcessState) {
	if state == nil {
		return
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.processorTime += state.UserTime() + state.SystemTime()
}
