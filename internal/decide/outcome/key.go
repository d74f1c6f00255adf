package outcome

import (
	"errors"
	"strconv"
	"strings"

	"github.com/google/uuid"
)

// Key is the parsed idempotency key of a non-idempotent request.
type Key struct {
	Text string
	// UnixMillis is the timestamp that the key carries, in Unix milliseconds; 0 unless Timed.
	UnixMillis int64
	// Timed reports whether the key carries a timestamp, as UUIDv7, ULID and minted keys do.
	Timed bool
	// Owner is the only node that may run a request with a minted key; zero for other keys.
	Owner Node
}

// Node identifies one process of a node by the node's name and by an incarnation, which differs for each process start.
type Node struct {
	Name        string `json:"node"`
	Incarnation uint64 `json:"incarnation"`
}

// IsZero reports whether the node is unset.
func (n Node) IsZero() bool {
	return n == Node{}
}

// ErrKey is returned for a text that is not a valid idempotency key.
var ErrKey = errors.New("invalid idempotency key: want 1 to 255 visible ASCII characters")

const (
	maxKeyBytes  = 255
	mintedPrefix = "m"
	mintedFields = 4
	mintedBase   = 36
)

// Mint returns a key that names the only node that may run its request. The id must be a UUIDv7.
func Mint(owner Node, id uuid.UUID) string {
	return strings.Join([]string{mintedPrefix, strconv.FormatUint(owner.Incarnation, mintedBase), id.String(), owner.Name}, ".")
}

// ParseKey parses an idempotency key. A text without a recognized timestamp is an opaque key.
func ParseKey(text string) (Key, error) {
	if text == "" || len(text) > maxKeyBytes || strings.ContainsFunc(text, isNotVisibleASCII) {
		return Key{}, ErrKey
	}
	if k, ok := parseMinted(text); ok {
		return k, nil
	}
	if id, err := uuid.Parse(text); err == nil && id.Version() == 7 {
		return Key{Text: text, UnixMillis: uuidMillis(id), Timed: true}, nil
	}
	if millis, ok := ulidMillis(text); ok {
		return Key{Text: text, UnixMillis: millis, Timed: true}, nil
	}
	return Key{Text: text}, nil
}

func isNotVisibleASCII(r rune) bool {
	return r <= ' ' || r > '~'
}

func parseMinted(text string) (Key, bool) {
	fields := strings.SplitN(text, ".", mintedFields)
	if len(fields) != mintedFields || fields[0] != mintedPrefix || fields[3] == "" {
		return Key{}, false
	}
	incarnation, err := strconv.ParseUint(fields[1], mintedBase, 64)
	if err != nil {
		return Key{}, false
	}
	id, err := uuid.Parse(fields[2])
	if err != nil || id.Version() != 7 {
		return Key{}, false
	}
	owner := Node{Name: fields[3], Incarnation: incarnation}
	return Key{Text: text, UnixMillis: uuidMillis(id), Timed: true, Owner: owner}, true
}

func uuidMillis(id uuid.UUID) int64 {
	var millis int64
	for _, b := range id[:6] {
		millis = millis<<8 | int64(b)
	}
	return millis
}

const (
	ulidLength       = 26
	ulidTimeLength   = 10
	ulidAlphabet     = "0123456789ABCDEFGHJKMNPQRSTVWXYZ"
	ulidMaxFirstChar = '7'
)

func ulidMillis(text string) (int64, bool) {
	upper := strings.ToUpper(text)
	if len(upper) != ulidLength || upper[0] > ulidMaxFirstChar {
		return 0, false
	}
	var millis int64
	for i, c := range upper {
		value := strings.IndexRune(ulidAlphabet, c)
		if value < 0 {
			return 0, false
		}
		if i < ulidTimeLength {
			millis = millis<<5 | int64(value)
		}
	}
	return millis, true
}
