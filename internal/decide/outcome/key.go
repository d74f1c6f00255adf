package outcome

import (
	"errors"
	"strconv"
	"strings"

	"github.com/google/uuid"
)

// Key is the parsed key of a non-idempotent request.
type Key struct {
	Text string
	// UnixMillis is the time that the key itself carries.
	UnixMillis int64
	// Timed says that the key carries a time: a UUIDv7, a ULID, or a minted key.
	Timed bool
	// Owner is the only node that may run a minted key; zero for others.
	Owner Node
}

// Node is one process of a node: its name, and the start that tells it from earlier processes of the same name.
type Node struct {
	Name        string `json:"node"`
	Incarnation uint64 `json:"incarnation"`
}

// IsZero reports whether the node is unset.
func (n Node) IsZero() bool {
	return n == Node{}
}

// ErrKey says that the text can't be a key.
var ErrKey = errors.New("a key has 1 to 255 visible ASCII characters")

const (
	maxKeyBytes  = 255
	mintedPrefix = "m"
	mintedFields = 4
	mintedBase   = 36
)

// Mint returns a key that names the one node that may run it.
func Mint(owner Node, id uuid.UUID) string {
	return strings.Join([]string{mintedPrefix, strconv.FormatUint(owner.Incarnation, mintedBase), id.String(), owner.Name}, ".")
}

// ParseKey reads the text of a key.
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
