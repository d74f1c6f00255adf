package fleet

import (
	"fmt"
	"io"
	"os/exec"
	"sync"
	"syscall"

	"github.com/gravitational/trace"

	"github.com/comfreyhoist/comfreyhoist/internal/lab/server"
)

// Node is one node process with its stand-in backend server.
type Node struct {
	Name    string
	Zone    string
	Service string
	// IP is what the node connects from.
	IP string
	// Caller, Backend and Operator are the node's own listeners; Peer is the network's in front of the node.
	Caller   string
	Peer     string
	Backend  string
	Operator string
	Server   *server.Server

	command []string
	output  io.Writer

	mu      sync.Mutex
	process *exec.Cmd
	// serverErr is why the backend server could not run, if it could not.
	serverErr error
}

func (n *Node) setServerError(err error) {
	if err == nil {
		return
	}
	if n.output != nil {
		_, _ = fmt.Fprintf(n.output, "backend server of node %s: %v\n", n.Name, err)
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

// Start starts the node's process, for the first time or after it ended.
func (n *Node) Start() error {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.process = exec.Command(n.command[0], n.command[1:]...)
	n.process.Stdout, n.process.Stderr = n.output, n.output
	return trace.Wrap(n.process.Start())
}

// AppendFlags adds flags for the next start.
func (n *Node) AppendFlags(flags ...string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.command = append(n.command, flags...)
}

// Kill ends the process at once.
func (n *Node) Kill() {
	n.signal(syscall.SIGKILL)
	n.wait()
}

// Freeze stops the process in the middle of what it does, until Resume.
func (n *Node) Freeze() {
	n.signal(syscall.SIGSTOP)
}

// Resume lets a frozen process go on.
func (n *Node) Resume() {
	n.signal(syscall.SIGCONT)
}

// Terminate asks the process to stop, as a planned stop does, and waits until it has ended by itself.
func (n *Node) Terminate() {
	n.signal(syscall.SIGTERM)
	n.wait()
}

// PID returns the id of the process, or 0.
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
	}
}
