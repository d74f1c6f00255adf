package zone

import (
	"context"
	"time"

	"storj.io/drpc"

	"github.com/comfreyhoist/comfreyhoist/internal/decide/membership"
	"github.com/comfreyhoist/comfreyhoist/internal/traffic/peer"
	"github.com/comfreyhoist/comfreyhoist/internal/wire/zonepb"
)

// ClientConfig sets a Client up.
type ClientConfig struct {
	Pool *peer.Pool
	Node string
	Zone string
	// BeatTimeout bounds one heartbeat, Timeout every other message.
	BeatTimeout time.Duration
	Timeout     time.Duration
}

// Client sends control messages to other nodes.
type Client struct {
	config ClientConfig
}

// NewClient returns a client of the node.
func NewClient(config ClientConfig) *Client {
	return &Client{config: config}
}

// Beat is one heartbeat.
type Beat struct {
	// Changed are records that the other node may lack.
	Changed []membership.Record
	// Log and Seen say which of the other node's changes are known.
	Log  uint64
	Seen uint64
	// Leads says that the sender leads its zone, and Leased that it does so under a lease; Address is then its own.
	Leads   bool
	Leased  bool
	Address string
}

// BeatAnswer is the answer to a heartbeat.
type BeatAnswer struct {
	membership.Answer

	Digest uint64
	Log    uint64
	Next   uint64
	Newer  []membership.Change
	// More says that further changes wait.
	More bool
}

// Beat sends a heartbeat.
func (c *Client) Beat(ctx context.Context, address string, b Beat) (BeatAnswer, error) {
	request := &zonepb.BeatRequest{
		Node:    c.config.Node,
		Zone:    c.config.Zone,
		Changed: recordMessages(b.Changed),
		Log:     b.Log,
		Seen:    b.Seen,
		Leads:   b.Leads,
		Leased:  b.Leased,
		Address: b.Address,
	}
	var reply *zonepb.BeatReply
	err := c.use(ctx, address, c.config.BeatTimeout, func(ctx context.Context, z zonepb.DRPCZoneClient) (err error) {
		reply, err = z.Beat(ctx, request)
		return err
	})
	return beatAnswer(reply), err
}

func beatAnswer(m *zonepb.BeatReply) BeatAnswer {
	return BeatAnswer{
		Answer: membership.Answer{
			Leads:  m.GetLeads(),
			Leased: m.GetLeased(),
			Leader: membership.Target{Node: m.GetLeader(), Address: m.GetLeaderAddress()},
		},
		Digest: m.GetDigest(),
		Log:    m.GetLog(),
		Next:   m.GetNext(),
		Newer:  changesFrom(m.GetNewer()),
		More:   m.GetMore(),
	}
}

// Compare sends the digests of all buckets. It returns the other node's, and its versions in the buckets that differ.
func (c *Client) Compare(ctx context.Context, address string, digests []uint64) (versions map[string]membership.Version, theirs []uint64, err error) {
	reply, err := c.exchange(ctx, address, &zonepb.ExchangeRequest{Node: c.config.Node, Digests: digests})
	return versionsFrom(reply.GetHave()), reply.GetDigests(), err
}

// Exchange offers records and returns as many of the wanted ones as fit in a message.
func (c *Client) Exchange(ctx context.Context, address string, wanted []string, offered []membership.Record) ([]membership.Record, error) {
	request := &zonepb.ExchangeRequest{Node: c.config.Node, Wanted: wanted, Offered: recordMessages(offered)}
	reply, err := c.exchange(ctx, address, request)
	return recordsFrom(reply.GetNewer()), err
}

func (c *Client) exchange(ctx context.Context, address string, request *zonepb.ExchangeRequest) (*zonepb.ExchangeReply, error) {
	var reply *zonepb.ExchangeReply
	err := c.use(ctx, address, c.config.Timeout, func(ctx context.Context, z zonepb.DRPCZoneClient) (err error) {
		reply, err = z.Exchange(ctx, request)
		return err
	})
	return reply, err
}

func (c *Client) use(ctx context.Context, address string, timeout time.Duration, f func(context.Context, zonepb.DRPCZoneClient) error) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	return c.config.Pool.Use(ctx, address, func(conn drpc.Conn) error {
		return f(ctx, zonepb.NewDRPCZoneClient(conn))
	})
}

func recordMessage(r membership.Record) *zonepb.Record {
	return &zonepb.Record{Key: r.Key, Epoch: r.Version.Epoch, Sequence: r.Version.Sequence, Value: r.Value}
}

func recordMessages(records []membership.Record) []*zonepb.Record {
	var messages []*zonepb.Record
	for _, r := range records {
		messages = append(messages, recordMessage(r))
	}
	return messages
}

func recordFrom(m *zonepb.Record) membership.Record {
	return membership.Record{
		Key:     m.GetKey(),
		Version: membership.Version{Epoch: m.GetEpoch(), Sequence: m.GetSequence()},
		Value:   m.GetValue(),
	}
}

func recordsFrom(messages []*zonepb.Record) []membership.Record {
	var records []membership.Record
	for _, m := range messages {
		records = append(records, recordFrom(m))
	}
	return records
}

func changeMessages(changes []membership.Change) []*zonepb.Record {
	var messages []*zonepb.Record
	for _, c := range changes {
		message := recordMessage(c.Record)
		if c.Patched {
			message.Value = c.Patch.Middle
			message.Base = &zonepb.Base{
				Epoch:    c.Patch.Base.Epoch,
				Sequence: c.Patch.Base.Sequence,
				Prefix:   uint32(c.Patch.Prefix),
				Suffix:   uint32(c.Patch.Suffix),
				Sum:      c.Patch.Checksum,
			}
		}
		messages = append(messages, message)
	}
	return messages
}

func changesFrom(messages []*zonepb.Record) []membership.Change {
	var changes []membership.Change
	for _, m := range messages {
		c := membership.Change{Record: recordFrom(m)}
		if base := m.GetBase(); base != nil {
			c.Patched = true
			c.Patch = membership.Patch{
				Key:      m.GetKey(),
				Base:     membership.Version{Epoch: base.GetEpoch(), Sequence: base.GetSequence()},
				Version:  c.Record.Version,
				Prefix:   int(base.GetPrefix()),
				Suffix:   int(base.GetSuffix()),
				Middle:   m.GetValue(),
				Checksum: base.GetSum(),
			}
		}
		changes = append(changes, c)
	}
	return changes
}

func versionMessages(versions map[string]membership.Version) []*zonepb.RecordVersion {
	var messages []*zonepb.RecordVersion
	for key, v := range versions {
		messages = append(messages, &zonepb.RecordVersion{Key: key, Epoch: v.Epoch, Sequence: v.Sequence})
	}
	return messages
}

func versionsFrom(messages []*zonepb.RecordVersion) map[string]membership.Version {
	versions := make(map[string]membership.Version, len(messages))
	for _, m := range messages {
		versions[m.GetKey()] = membership.Version{Epoch: m.GetEpoch(), Sequence: m.GetSequence()}
	}
	return versions
}
