package zone

import (
	"context"
	"time"

	"storj.io/drpc"

	"github.com/comfreyhoist/comfreyhoist/internal/decide/membership"
	"github.com/comfreyhoist/comfreyhoist/internal/traffic/peer"
	"github.com/comfreyhoist/comfreyhoist/internal/wire/zonepb"
)

// ClientConfig configures a Client.
type ClientConfig struct {
	Pool *peer.Pool
	Node string
	Zone string
	// HeartbeatTimeout limits one heartbeat, Timeout every other message.
	HeartbeatTimeout time.Duration
	Timeout          time.Duration
}

// Client sends control messages to other nodes.
type Client struct {
	config ClientConfig
}

// NewClient returns a client that sends as the configured node.
func NewClient(config ClientConfig) *Client {
	return &Client{config: config}
}

// Heartbeat is the content of a heartbeat request.
type Heartbeat struct {
	// Changed holds records that the receiver may lack.
	Changed []membership.Record
	// LogID and LogPosition identify the receiver's change log and the last change in it that the sender has applied.
	LogID       uint64
	LogPosition uint64
	// Leads reports whether the sender leads its availability zone, and Leased whether it holds the lease. Address is
	// the sender's own address; it is set only where Leads is true.
	Leads   bool
	Leased  bool
	Address string
}

// HeartbeatReply is the receiver's reply to a heartbeat.
type HeartbeatReply struct {
	membership.ElectionState

	// Digest covers all records of the receiver. LogID identifies its change log, and NextPosition is the last change
	// covered by this reply.
	Digest       uint64
	LogID        uint64
	NextPosition uint64
	Newer        []membership.Change
	// More reports whether the receiver has further changes to send.
	More bool
}

// SendHeartbeat sends a heartbeat to the address and returns the reply.
func (c *Client) SendHeartbeat(ctx context.Context, address string, h Heartbeat) (HeartbeatReply, error) {
	request := &zonepb.BeatRequest{
		Node:    c.config.Node,
		Zone:    c.config.Zone,
		Changed: recordMessages(h.Changed),
		Log:     h.LogID,
		Seen:    h.LogPosition,
		Leads:   h.Leads,
		Leased:  h.Leased,
		Address: h.Address,
	}
	var reply *zonepb.BeatReply
	err := c.withConn(ctx, address, c.config.HeartbeatTimeout, func(ctx context.Context, z zonepb.DRPCZoneClient) (err error) {
		reply, err = z.Beat(ctx, request)
		return err
	})
	return heartbeatReplyFrom(reply), err
}

func heartbeatReplyFrom(m *zonepb.BeatReply) HeartbeatReply {
	return HeartbeatReply{
		ElectionState: membership.ElectionState{
			Leads:  m.GetLeads(),
			Leased: m.GetLeased(),
			Leader: membership.Target{Node: m.GetLeader(), Address: m.GetLeaderAddress()},
		},
		Digest:       m.GetDigest(),
		LogID:        m.GetLog(),
		NextPosition: m.GetNext(),
		Newer:        changesFrom(m.GetNewer()),
		More:         m.GetMore(),
	}
}

// Compare sends the digests of all buckets. It returns the receiver's digests and the versions of its records in the
// buckets that differ.
func (c *Client) Compare(ctx context.Context, address string, digests []uint64) (versions map[string]membership.Version, theirs []uint64, err error) {
	reply, err := c.exchange(ctx, address, &zonepb.ExchangeRequest{Node: c.config.Node, Digests: digests})
	return versionsFrom(reply.GetHave()), reply.GetDigests(), err
}

// Exchange sends the offered records and returns as many of the wanted records as fit in one message.
func (c *Client) Exchange(ctx context.Context, address string, wanted []string, offered []membership.Record) ([]membership.Record, error) {
	request := &zonepb.ExchangeRequest{Node: c.config.Node, Wanted: wanted, Offered: recordMessages(offered)}
	reply, err := c.exchange(ctx, address, request)
	return recordsFrom(reply.GetNewer()), err
}

func (c *Client) exchange(ctx context.Context, address string, request *zonepb.ExchangeRequest) (*zonepb.ExchangeReply, error) {
	var reply *zonepb.ExchangeReply
	err := c.withConn(ctx, address, c.config.Timeout, func(ctx context.Context, z zonepb.DRPCZoneClient) (err error) {
		reply, err = z.Exchange(ctx, request)
		return err
	})
	return reply, err
}

func (c *Client) withConn(ctx context.Context, address string, timeout time.Duration, f func(context.Context, zonepb.DRPCZoneClient) error) error {
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
