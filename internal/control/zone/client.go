package zone

import (
	"context"
	"time"

	"storj.io/drpc/drpcconn"

	"github.com/comfreyhoist/comfreyhoist/internal/decide/membership"
	"github.com/comfreyhoist/comfreyhoist/internal/traffic/peer"
	"github.com/comfreyhoist/comfreyhoist/internal/wire/zonepb"
)

// Client sends control messages to other nodes.
type Client struct {
	pool    *peer.Pool
	node    string
	zone    string
	timeout time.Duration
}

// NewClient returns a client of the node. Each message must be answered within the timeout.
func NewClient(pool *peer.Pool, node, zone string, timeout time.Duration) *Client {
	return &Client{pool: pool, node: node, zone: zone, timeout: timeout}
}

// Beat sends a heartbeat and returns the digest of the other node's records.
func (c *Client) Beat(ctx context.Context, address string, self membership.Record, digest uint64) (uint64, error) {
	request := &zonepb.BeatRequest{Node: c.node, Zone: c.zone, Self: recordMessage(self), Digest: digest}
	var reply *zonepb.BeatReply
	err := c.use(ctx, address, func(ctx context.Context, z zonepb.DRPCZoneClient) (err error) {
		reply, err = z.Beat(ctx, request)
		return err
	})
	return reply.GetDigest(), err
}

// Answer is what another node returned in an exchange.
type Answer struct {
	Newer  []membership.Record
	Wanted []string
}

// Exchange sends the versions held here and the records offered, and returns what is newer there and wanted.
func (c *Client) Exchange(ctx context.Context, address string, have map[string]membership.Version, offered []membership.Record) (Answer, error) {
	request := &zonepb.ExchangeRequest{Node: c.node, Have: versionMessages(have), Offered: recordMessages(offered)}
	var reply *zonepb.ExchangeReply
	err := c.use(ctx, address, func(ctx context.Context, z zonepb.DRPCZoneClient) (err error) {
		reply, err = z.Exchange(ctx, request)
		return err
	})
	return Answer{Newer: recordsFrom(reply.GetNewer()), Wanted: reply.GetWanted()}, err
}

func (c *Client) use(ctx context.Context, address string, f func(context.Context, zonepb.DRPCZoneClient) error) error {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	return c.pool.Use(ctx, address, func(conn *drpcconn.Conn) error {
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
