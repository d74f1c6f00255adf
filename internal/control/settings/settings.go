// Package settings reads and validates the settings of a node. Flags override the environment, which overrides the INI
// file.
//
// # Usage
//
//	flags := flag.NewFlagSet("node", flag.ContinueOnError)
//	s := settings.Register(flags)
//	err := s.Parse(flags, arguments)
//	err = s.Check()
//
// The key "address" in the INI section [caller] corresponds to the flag -caller.address and the environment variable
// COMFREYHOIST_CALLER_ADDRESS.
package settings

import (
	"flag"
	"fmt"
	"net"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/gravitational/trace"
	"github.com/rs/zerolog"

	"github.com/comfreyhoist/comfreyhoist/internal/control/document"
	"github.com/comfreyhoist/comfreyhoist/internal/control/inifile"
	"github.com/comfreyhoist/comfreyhoist/internal/decide/outcome"
)

// Settings are all settings of one node.
type Settings struct {
	Node     Node
	Caller   Caller
	Peer     Peer
	Backend  Backend
	Operator Operator
	Ready    Ready
	Metrics  Metrics
	Platform Platform
	Keys     Keys
	Log      Log
	Process  Process

	// origins maps flag names to the files and lines of the values that were read from a file.
	origins map[string]origin
}

// Node identifies the node.
type Node struct {
	Name   string
	Zone   string
	Region string
	// Service is the service of the local backend server. It is used only on a node configured by routes.
	Service string
	// Zones lists all availability zones whose nodes remember idempotency keys, separated by commas. It must be the
	// same on all nodes.
	Zones string
}

// Caller is the listener for callers and for the local backend server's own calls.
type Caller struct {
	Address string
	// MaxBody is the largest size of a request's body in bytes.
	MaxBody       int64
	HeaderTimeout time.Duration
	BodyTimeout   time.Duration
}

// Peer is the listener for other nodes.
type Peer struct {
	Address string
	// Advertised is the address announced to other nodes; if empty, it is Address.
	Advertised string
	// MaxConnections is the maximum number of connections to one other node.
	MaxConnections int
	// IdleTimeout is the time without a call after which a connection from another node is closed.
	IdleTimeout time.Duration
	// Seeds are peer addresses, separated by commas, through which the node joins while the platform is unreachable.
	Seeds string
}

// Backend is the listener for the local backend server's announcements, and on a node configured by documents also for
// health, metrics and the dump. It includes the limit of the queueing delay for the backend server.
type Backend struct {
	Address string
	// MaxWait is the longest queueing delay of a request that waits for a slot.
	MaxWait time.Duration
}

// Operator is the listener of the administration API.
type Operator struct {
	Address string
	// Tokens are pairs team:token or team/editor:token, separated by commas. Team "*" may edit every document.
	Tokens string
}

// Ready is the listener that reports whether the node accepts new requests. It is used only on a node configured by
// routes.
type Ready struct {
	Address string
}

// Metrics is the listener for metrics and the dump. It is used only on a node configured by routes.
type Metrics struct {
	Address string
}

// The sources of a node's configuration, the values of Platform.Source.
const (
	// SourceDocuments configures the node by the documents that teams write through the administration API.
	SourceDocuments = "documents"
	// SourceRoutes configures the node by the routes that operators write to the platform's store.
	SourceRoutes = "routes"
)

// Platform is the platform's key-value service.
type Platform struct {
	URL     string
	Timeout time.Duration
	// Source is SourceDocuments or SourceRoutes.
	Source string
	// Bounds are the bounds that the platform states, as name=value pairs separated by commas. It is used only on a node
	// configured by routes.
	Bounds string
}

// Keys limits the memory for the idempotency keys of requests that are not idempotent.
type Keys struct {
	// Window is the time for which callers may send a key again. It must be the same on all nodes.
	Window time.Duration
	// MaxKeys and MaxBytes limit the number of keys and their memory. At either limit, new keys are refused.
	MaxKeys  int
	MaxBytes int
}

// Log configures logging.
type Log struct {
	Level string
}

// Process holds the limits of the process.
type Process struct {
	// Memory is the maximum memory of the process in megabytes; 0 means no limit.
	Memory int64
}

// Default values and limits.
const (
	defaultMaxBody         = 1 << 20
	defaultHeaderTimeout   = 5 * time.Second
	defaultBodyTimeout     = 10 * time.Second
	defaultPeerConns       = 64
	defaultPeerIdleTimeout = 45 * time.Second
	defaultMaxWait         = 100 * time.Millisecond
	defaultPlatformTimeout = time.Second
	defaultKeysWindow      = 2 * time.Minute
	defaultMaxKeys         = 200_000
	defaultMaxKeyBytes     = 64 << 20
	maxBodyCeiling         = 3 << 20
	maxPeerConnsCeiling    = 1300
	maxPlatformTimeout     = 30 * time.Second
	minTokenBytes          = 16
	maxMaxWait             = 10 * time.Second
	maxPeerIdleTimeout     = 10 * time.Minute
	maxBodyTimeout         = 2 * time.Minute
	minKeysWindow          = document.MaxDeadline
	maxKeysWindow          = 10 * time.Minute
	minMaxKeys             = 1000
	maxKeysCeiling         = 10_000_000
	maxKeyBytesCeiling     = 4 << 30
	maxMemoryMegabytes     = 1 << 20
	listSeparator          = ","
	tokenTeamSeparator     = ":"
	tokenEditorSeparator   = "/"
	everyTeam              = "*"
	environmentPrefix      = "COMFREYHOIST"
	configFlag             = "config"
)

// Register adds a flag for every setting. The returned Settings receive the values when the flags are parsed.
func Register(flags *flag.FlagSet) *Settings {
	s := &Settings{}
	flags.StringVar(&s.Node.Name, "node.name", "", "unique name of this node")
	flags.StringVar(&s.Node.Zone, "node.zone", "", "availability zone of this node")
	flags.StringVar(&s.Node.Region, "node.region", "", "region of this node")
	flags.StringVar(&s.Node.Service, "node.service", "", "service of the local backend server; only with platform.source = routes")
	flags.StringVar(&s.Node.Zones, "node.zones", "", "all availability zones, separated by commas")
	flags.StringVar(&s.Caller.Address, "caller.address", "", "IP and port on which the node listens for callers")
	flags.Int64Var(&s.Caller.MaxBody, "caller.max_body", defaultMaxBody, "maximum size of a request body in bytes")
	flags.DurationVar(&s.Caller.HeaderTimeout, "caller.header_timeout", defaultHeaderTimeout, "time for a caller to send its headers")
	flags.DurationVar(&s.Caller.BodyTimeout, "caller.body_timeout", defaultBodyTimeout, "time for a caller to send its whole request")
	flags.StringVar(&s.Peer.Address, "peer.address", "", "IP and port on which the node listens for other nodes")
	flags.StringVar(&s.Peer.Advertised, "peer.advertised", "", "IP and port announced to other nodes; if empty, peer.address")
	flags.IntVar(&s.Peer.MaxConnections, "peer.max_connections", defaultPeerConns, "maximum number of connections to one other node")
	flags.DurationVar(&s.Peer.IdleTimeout, "peer.idle_timeout", defaultPeerIdleTimeout, "time without a call after which a connection from another node is closed")
	flags.StringVar(&s.Peer.Seeds, "peer.seeds", "", "peer addresses, separated by commas, through which the node joins while the platform is unreachable")
	flags.StringVar(&s.Backend.Address, "backend.address", "", "IP and port for the local backend server's announcements and for health, metrics and the dump")
	flags.DurationVar(&s.Backend.MaxWait, "backend.max_wait", defaultMaxWait, "maximum queueing delay of a request that waits for a slot")
	flags.StringVar(&s.Operator.Address, "operator.address", "", "IP and port of the administration API; if empty, it is disabled")
	flags.StringVar(&s.Operator.Tokens, "operator.tokens", "", "team:token or team/editor:token pairs, separated by commas")
	flags.StringVar(&s.Ready.Address, "ready.address", "", "IP and port that report whether the node accepts new requests; only with platform.source = routes")
	flags.StringVar(&s.Metrics.Address, "metrics.address", "", "IP and port of metrics and the dump; only with platform.source = routes; if empty, it is disabled")
	flags.StringVar(&s.Platform.Source, "platform.source", SourceDocuments, "source of the node's configuration: documents (written by teams) or routes (written by operators)")
	flags.StringVar(&s.Platform.Bounds, "platform.bounds", "", "bounds that the platform states, as name=value pairs separated by commas; only with platform.source = routes")
	flags.StringVar(&s.Platform.URL, "platform.url", "", "URL of the platform's key-value service")
	flags.DurationVar(&s.Platform.Timeout, "platform.timeout", defaultPlatformTimeout, "timeout of one call to the platform")
	flags.DurationVar(&s.Keys.Window, "keys.window", defaultKeysWindow, "time for which callers may send a key again; the same on every node")
	flags.IntVar(&s.Keys.MaxKeys, "keys.max_keys", defaultMaxKeys, "maximum number of remembered keys")
	flags.IntVar(&s.Keys.MaxBytes, "keys.max_bytes", defaultMaxKeyBytes, "maximum memory for keys and their responses, in bytes")
	flags.StringVar(&s.Log.Level, "log.level", "info", "debug, info, warn or error")
	flags.Int64Var(&s.Process.Memory, "process.memory", 0, "maximum memory of the process in megabytes; 0 for no limit")
	return s
}

// Check validates the values and returns all faults in one trace.BadParameter.
func (s *Settings) Check() error {
	faults := s.addOrigins(s.faults())
	if len(faults) == 0 {
		return nil
	}
	return trace.Wrap(&trace.BadParameterError{Message: faults.Error()})
}

func (s *Settings) faults() inifile.Faults {
	c := &checker{}
	c.name("node.name", s.Node.Name)
	c.name("node.zone", s.Node.Zone)
	c.zones(s.Node)
	c.address("caller.address", s.Caller.Address)
	c.address("peer.address", s.Peer.Address)
	c.address("backend.address", s.Backend.Address)
	c.optionalAddress("peer.advertised", s.Peer.Advertised)
	c.optionalAddress("operator.address", s.Operator.Address)
	c.optionalAddress("metrics.address", s.Metrics.Address)
	for _, seed := range s.Peer.SeedList() {
		c.address("peer.seeds", seed)
	}
	c.inRange("caller.max_body", s.Caller.MaxBody, 1, maxBodyCeiling)
	c.inRange("peer.max_connections", int64(s.Peer.MaxConnections), 1, maxPeerConnsCeiling)
	c.duration("caller.body_timeout", s.Caller.BodyTimeout, maxBodyTimeout)
	c.duration("caller.header_timeout", s.Caller.HeaderTimeout, maxBodyTimeout)
	if s.Caller.HeaderTimeout > s.Caller.BodyTimeout {
		c.fault("caller.header_timeout", "is longer than caller.body_timeout, which counts the headers too")
	}
	c.duration("peer.idle_timeout", s.Peer.IdleTimeout, maxPeerIdleTimeout)
	c.duration("platform.timeout", s.Platform.Timeout, maxPlatformTimeout)
	c.duration("backend.max_wait", s.Backend.MaxWait, maxMaxWait)
	c.keys(s)
	c.distinctAddresses(s)
	c.url("platform.url", s.Platform.URL)
	c.source(s)
	c.inRange("process.memory", s.Process.Memory, 0, maxMemoryMegabytes)
	c.tokens(s.Operator)
	if _, err := zerolog.ParseLevel(s.Log.Level); err != nil || s.Log.Level == "" {
		c.fault("log.level", "must be debug, info, warn or error")
	}
	return c.faults
}

// ZoneList returns the availability zones.
func (n Node) ZoneList() []string {
	return splitList(n.Zones)
}

// AdvertisedAddress returns the address announced to other nodes.
func (p Peer) AdvertisedAddress() string {
	if p.Advertised != "" {
		return p.Advertised
	}
	return p.Address
}

// IP returns the IP from which the node connects to other nodes and to the platform.
func (p Peer) IP() net.IP {
	host, _, err := net.SplitHostPort(p.Address)
	if err != nil {
		return nil
	}
	return net.ParseIP(host)
}

// SeedList returns the seed addresses.
func (p Peer) SeedList() []string {
	return splitList(p.Seeds)
}

func splitList(list string) []string {
	var items []string
	for _, item := range strings.Split(list, listSeparator) {
		if item = strings.TrimSpace(item); item != "" {
			items = append(items, item)
		}
	}
	return items
}

// checker validates values and collects their faults.
type checker struct {
	faults inifile.Faults
}

func (c *checker) fault(name, reason string) {
	section, key := splitName(name)
	c.faults = append(c.faults, inifile.Fault{Section: section, Key: key, Reason: reason})
}

func (c *checker) name(name, value string) {
	if value == "" || strings.ContainsAny(value, " /,\t\n") {
		c.fault(name, "must be a name without spaces, commas and slashes")
	}
}

func (c *checker) zones(n Node) {
	seen := map[string]bool{}
	for _, z := range n.ZoneList() {
		if seen[z] {
			c.fault("node.zones", z+" is listed twice")
		}
		seen[z] = true
	}
	if !seen[n.Zone] {
		c.fault("node.zones", "must hold node.zone")
	}
}

func (c *checker) address(name, value string) {
	host, port, err := net.SplitHostPort(value)
	if err != nil {
		c.fault(name, "must be an IP and a port, such as 127.0.0.1:7001")
		return
	}
	if net.ParseIP(host) == nil {
		c.fault(name, "the host must be an IP")
	}
	if number, err := strconv.ParseUint(port, 10, 16); err != nil || number == 0 {
		c.fault(name, "the port must be a number from 1 to 65535")
	}
}

func (c *checker) optionalAddress(name, value string) {
	if value != "" {
		c.address(name, value)
	}
}

func (c *checker) inRange(name string, value, low, high int64) {
	if value < low || value > high {
		c.fault(name, fmt.Sprintf("must be from %d to %d", low, high))
	}
}

func (c *checker) duration(name string, value, high time.Duration) {
	if value <= 0 || value > high {
		c.fault(name, "must be more than 0 and at most "+high.String())
	}
}

// keys checks the limits for idempotency keys, including that MaxBytes suffices for MaxKeys and for one body of the
// maximum size.
func (c *checker) keys(s *Settings) {
	if s.Keys.Window < minKeysWindow || s.Keys.Window > maxKeysWindow {
		c.fault("keys.window", "must be from "+minKeysWindow.String()+", the longest deadline of a document, to "+maxKeysWindow.String())
	}
	c.inRange("keys.max_keys", int64(s.Keys.MaxKeys), minMaxKeys, maxKeysCeiling)
	c.inRange("keys.max_bytes", int64(s.Keys.MaxBytes), 1, maxKeyBytesCeiling)
	if minBytes := s.Keys.MaxKeys * outcome.EntryBytes; s.Keys.MaxBytes < minBytes {
		c.fault("keys.max_bytes", fmt.Sprintf("must be at least %d for keys.max_keys without their answers", minBytes))
	}
	if int64(s.Keys.MaxBytes) < s.Caller.MaxBody {
		c.fault("keys.max_bytes", "must be at least caller.max_body, or one answer fills it")
	}
}

func (c *checker) url(name, value string) {
	u, err := url.Parse(value)
	if err != nil || u.Scheme != "http" && u.Scheme != "https" || u.Host == "" {
		c.fault(name, "must be a URL that begins with http:// or https://")
	}
}

// source checks the source, and the settings that only one of the sources uses.
func (c *checker) source(s *Settings) {
	switch s.Platform.Source {
	case SourceDocuments:
		if s.Node.Service != "" {
			c.fault("node.service", "is used only with platform.source = routes")
		}
		if s.Ready.Address != "" {
			c.fault("ready.address", "is used only with platform.source = routes")
		}
		if s.Platform.Bounds != "" {
			c.fault("platform.bounds", "is used only with platform.source = routes")
		}
	case SourceRoutes:
		c.name("node.service", s.Node.Service)
		c.address("ready.address", s.Ready.Address)
	default:
		c.fault("platform.source", "must be documents or routes")
	}
}

func (c *checker) tokens(o Operator) {
	tokens, err := o.TokenList()
	if err != nil {
		c.fault("operator.tokens", trace.UserMessage(err))
		return
	}
	if o.Address != "" && len(tokens) == 0 {
		c.fault("operator.tokens", "must be set if operator.address is set: without tokens every request is refused")
	}
}

// distinctAddresses adds a fault for each listener that has the same address as an earlier one.
func (c *checker) distinctAddresses(s *Settings) {
	listeners := []struct{ name, address string }{
		{"caller.address", s.Caller.Address},
		{"peer.address", s.Peer.Address},
		{"backend.address", s.Backend.Address},
		{"operator.address", s.Operator.Address},
		{"ready.address", s.Ready.Address},
		{"metrics.address", s.Metrics.Address},
	}
	first := map[string]string{}
	for _, l := range listeners {
		if other, exists := first[l.address]; exists && l.address != "" {
			c.fault(l.name, "is the same as "+other)
			continue
		}
		first[l.address] = l.name
	}
}
