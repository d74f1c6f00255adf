// Package settings reads and checks the settings of a node: flags override the environment, which overrides the INI
// file.
//
// # Usage
//
//	flags := flag.NewFlagSet("node", flag.ContinueOnError)
//	s := settings.Register(flags)
//	err := s.Parse(flags, arguments)
//	err = s.Check()
//
// A key "address" of the INI section [caller] is the flag -caller.address and the environment variable
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

	// origins are the places of the values that came from a file, by the name of the flag.
	origins map[string]origin
}

// Node says who the node is.
type Node struct {
	Name   string
	Zone   string
	Region string
	// Service is that of the local backend server, where the node goes by routes.
	Service string
	// Zones are all availability zones that remember keys; the same list everywhere.
	Zones string
}

// Caller is the listener for callers and for the local backend server's own calls.
type Caller struct {
	Address string
	// MaxBody is in bytes.
	MaxBody       int64
	HeaderTimeout time.Duration
	BodyTimeout   time.Duration
}

// Peer is the listener for other nodes.
type Peer struct {
	Address string
	// Advertised is the address that other nodes are told; empty for Address.
	Advertised string
	// MaxConnections bounds the connections to one other node.
	MaxConnections int
	// IdleTimeout is how long a connection of another node may wait before its next call.
	IdleTimeout time.Duration
	// Seeds are peer addresses to join through while the platform is away, separated by commas.
	Seeds string
}

// Backend is the listener for the local backend server's announcements, and the bounds of its use.
type Backend struct {
	Address string
	MaxWait time.Duration
}

// Operator is the listener of the administration API.
type Operator struct {
	Address string
	// Tokens are pairs team:token or team/editor:token, separated by commas. Team "*" may edit every document.
	Tokens string
}

// Ready is the listener that tells whether the node takes new work; used only where the node goes by routes.
type Ready struct {
	Address string
}

// Metrics is the listener for metrics and the dump, where the node goes by routes.
type Metrics struct {
	Address string
}

// The sources of what a node goes by.
const (
	// SourceDocuments takes the documents that teams give to the administration API.
	SourceDocuments = "documents"
	// SourceRoutes takes the routes that operators write to the platform's store.
	SourceRoutes = "routes"
)

// Platform is the platform's key-value service.
type Platform struct {
	URL     string
	Timeout time.Duration
	// Source is FromDocuments or FromRoutes.
	Source string
}

// Keys bounds what is remembered of the keys of requests that are not idempotent.
type Keys struct {
	// Window is how long callers may send a key again; the same on every node.
	Window time.Duration
	// MaxKeys and MaxBytes bound the memory. At the bound new keys are refused.
	MaxKeys  int
	MaxBytes int
}

// Log sets what is logged.
type Log struct {
	Level string
}

// Process sets the bounds of the process.
type Process struct {
	// Memory is how many megabytes it may use; 0 for no bound.
	Memory int64
}

// Default values.
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

// Register adds a flag for every setting and returns where their values will be.
func Register(flags *flag.FlagSet) *Settings {
	s := &Settings{}
	flags.StringVar(&s.Node.Name, "node.name", "", "unique name of this node")
	flags.StringVar(&s.Node.Zone, "node.zone", "", "availability zone of this node")
	flags.StringVar(&s.Node.Region, "node.region", "", "region of this node")
	flags.StringVar(&s.Node.Service, "node.service", "", "service of the local backend server; only with platform.source = routes")
	flags.StringVar(&s.Node.Zones, "node.zones", "", "all availability zones, separated by commas")
	flags.StringVar(&s.Caller.Address, "caller.address", "", "IP and port that callers use")
	flags.Int64Var(&s.Caller.MaxBody, "caller.max_body", defaultMaxBody, "largest body in bytes")
	flags.DurationVar(&s.Caller.HeaderTimeout, "caller.header_timeout", defaultHeaderTimeout, "time for a caller to send its headers")
	flags.DurationVar(&s.Caller.BodyTimeout, "caller.body_timeout", defaultBodyTimeout, "time for a caller to send its whole request")
	flags.StringVar(&s.Peer.Address, "peer.address", "", "IP and port that other nodes use")
	flags.StringVar(&s.Peer.Advertised, "peer.advertised", "", "IP and port that other nodes are told; empty for peer.address")
	flags.IntVar(&s.Peer.MaxConnections, "peer.max_connections", defaultPeerConns, "most connections to one other node")
	flags.DurationVar(&s.Peer.IdleTimeout, "peer.idle_timeout", defaultPeerIdleTimeout, "time without a call after which a connection from another node is closed")
	flags.StringVar(&s.Peer.Seeds, "peer.seeds", "", "peer addresses to join through while the platform is away")
	flags.StringVar(&s.Backend.Address, "backend.address", "", "IP and port for the local backend server's announcements and for health, metrics and the dump")
	flags.DurationVar(&s.Backend.MaxWait, "backend.max_wait", defaultMaxWait, "longest wait for a slot")
	flags.StringVar(&s.Operator.Address, "operator.address", "", "IP and port of the administration API; empty for none")
	flags.StringVar(&s.Operator.Tokens, "operator.tokens", "", "team:token or team/editor:token pairs, separated by commas")
	flags.StringVar(&s.Ready.Address, "ready.address", "", "IP and port that tell whether the node takes new work; only with platform.source = routes")
	flags.StringVar(&s.Metrics.Address, "metrics.address", "", "IP and port of metrics and the dump; only with platform.source = routes, empty for none")
	flags.StringVar(&s.Platform.Source, "platform.source", SourceDocuments, "what the node goes by: documents of teams, or routes of operators")
	flags.StringVar(&s.Platform.URL, "platform.url", "", "URL of the platform's key-value service")
	flags.DurationVar(&s.Platform.Timeout, "platform.timeout", defaultPlatformTimeout, "time for one answer of the platform")
	flags.DurationVar(&s.Keys.Window, "keys.window", defaultKeysWindow, "time for which callers may send a key again; the same on every node")
	flags.IntVar(&s.Keys.MaxKeys, "keys.max_keys", defaultMaxKeys, "most keys that are remembered")
	flags.IntVar(&s.Keys.MaxBytes, "keys.max_bytes", defaultMaxKeyBytes, "most memory for keys and their answers, in bytes")
	flags.StringVar(&s.Log.Level, "log.level", "info", "debug, info, warn or error")
	flags.Int64Var(&s.Process.Memory, "process.memory", 0, "most memory in megabytes, which the node stays below; 0 for no bound")
	return s
}

// Check returns all faults of the values at once, as a trace.BadParameter.
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

// AdvertisedAddress returns the address that other nodes are told.
func (p Peer) AdvertisedAddress() string {
	if p.Advertised != "" {
		return p.Advertised
	}
	return p.Address
}

// IP returns the IP from which the node connects to others and to the platform.
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

// checker collects faults.
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
			c.fault("node.zones", z+" stands twice")
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

// keys notes bounds that contradict each other or what a node takes from callers.
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

// source notes what only one of the sources needs.
func (c *checker) source(s *Settings) {
	switch s.Platform.Source {
	case SourceDocuments:
		if s.Node.Service != "" {
			c.fault("node.service", "is used only with platform.source = routes")
		}
		if s.Ready.Address != "" {
			c.fault("ready.address", "is used only with platform.source = routes")
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
		c.fault("operator.tokens", "must be set where operator.address is, or nobody may use it")
	}
}

// distinctAddresses notes the addresses that stand under two settings.
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
