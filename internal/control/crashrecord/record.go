package crashrecord

import (
	"encoding/json"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/gravitational/trace"

	"github.com/comfreyhoist/comfreyhoist/internal/control/store"
	"github.com/comfreyhoist/comfreyhoist/internal/decide/quarantine"
)

// maxCrashes limits the number of crashes of a record that counts.
const maxCrashes = 1000

// recordMessage is the value of a record.
type recordMessage struct {
	quarantine.Fingerprint

	Crashes  int      `json:"crashes"`
	CrashIDs []uint64 `json:"crash_ids"`
	// Until is the end of the term, in Unix milliseconds.
	Until int64 `json:"until_ms"`
}

// keyOf returns the key of the record of the request.
func keyOf(f quarantine.Fingerprint) string {
	const hexadecimal = 16
	h := xxhash.New()
	for _, part := range []string{f.Service, strconv.FormatUint(f.Hash, hexadecimal)} {
		_, _ = h.WriteString(part)
		_, _ = h.Write([]byte{0})
	}
	return Prefix + strconv.FormatUint(h.Sum64(), hexadecimal)
}

// encode returns the write of the record, without its expected revision and its lease.
func encode(r quarantine.Record) (store.Write, error) {
	value, err := json.Marshal(recordMessage{
		Fingerprint: r.Fingerprint, Crashes: r.Crashes, CrashIDs: r.CrashIDs, Until: time.Now().Add(r.Left).UnixMilli(),
	})
	return store.Write{Key: keyOf(r.Fingerprint), Value: value}, trace.Wrap(err)
}

// decode decodes a record. Anybody may have written it: one that no node writes is a trace.BadParameter that names the fault.
func decode(item store.Item) (quarantine.Record, error) {
	var m recordMessage
	if err := json.Unmarshal(item.Value, &m); err != nil {
		return quarantine.Record{}, trace.BadParameter("the value is no JSON of a record: %v", err)
	}
	switch {
	case m.Hash == 0 || item.Key != keyOf(m.Fingerprint):
		return quarantine.Record{}, trace.BadParameter("the fingerprint is not the one of the key")
	case m.Crashes < 1 || m.Crashes > maxCrashes || len(m.CrashIDs) > m.Crashes:
		return quarantine.Record{}, trace.BadParameter("%d crashes with %d identifiers are not possible", m.Crashes, len(m.CrashIDs))
	}
	return quarantine.Record{
		Fingerprint: m.Fingerprint, Crashes: m.Crashes, CrashIDs: m.CrashIDs, Left: max(time.Until(time.UnixMilli(m.Until)), 0),
	}, nil
}
