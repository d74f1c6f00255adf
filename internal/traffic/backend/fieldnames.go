package backend

import (
	"bytes"
	"fmt"

	"golang.org/x/net/http/httpguts"

	"github.com/comfreyhoist/comfreyhoist/internal/wire/http1"
)

// fieldNames checks the names of the fields in a response head while its bytes are read. net/http accepts blanks in a name, so
// that a length or a coding may not be seen, and it joins a line that begins with a blank to the one before it (RFC 9112,
// sections 5.1 and 5.2).
type fieldNames struct {
	position headPosition
	// name holds the first bytes of the name that is being read, and size is the number of its bytes.
	name [maxFramingName]byte
	size int
	// hasLength and hasCoding tell whether the head has a length or a coding of its body. net/http removes what it overrides.
	hasLength, hasCoding bool
}

// The fields that tell where a body ends.
const (
	lengthField = "Content-Length"
	codingField = "Transfer-Encoding"
	// maxFramingName is the length of the longer one in bytes.
	maxFramingName = len(codingField)
)

// headPosition is where in a response head the next byte stands.
type headPosition int

const (
	// inLine is in the status line, or behind the name of a field.
	inLine headPosition = iota
	atLineStart
	inName
	behindHead
)

// begin starts the check of a head.
func (f *fieldNames) begin() {
	*f = fieldNames{position: inLine}
}

// check checks the bytes that follow. It returns an http1.ErrMalformed for a byte that can't stand in a name. Bytes behind the
// head are ignored.
func (f *fieldNames) check(head []byte) error {
	for len(head) > 0 && f.position != behindHead {
		if f.position == inLine {
			_, rest, ended := bytes.Cut(head, []byte{'\n'})
			if ended {
				f.position, f.size = atLineStart, 0
			}
			head = rest
			continue
		}
		if err := f.checkByte(head[0]); err != nil {
			return err
		}
		head = head[1:]
	}
	return nil
}

// checkByte checks a byte at the start of a line or in a name.
func (f *fieldNames) checkByte(b byte) error {
	isFirst := f.position == atLineStart
	switch {
	case isFirst && (b == '\r' || b == '\n'):
		f.position = behindHead
	case !isFirst && b == nameTerminator:
		f.position = inLine
		f.endName()
	case httpguts.IsTokenRune(rune(b)):
		f.position = inName
		if f.size < maxFramingName {
			f.name[f.size] = b
		}
		f.size++
	default:
		return fmt.Errorf("%w: %q in the name of a field", http1.ErrMalformed, b)
	}
	return nil
}

// nameTerminator ends the name of a field.
const nameTerminator = ':'

// endName records a name that has been read.
func (f *fieldNames) endName() {
	if f.size > maxFramingName {
		return
	}
	name := f.name[:f.size]
	f.hasLength = f.hasLength || bytes.EqualFold(name, []byte(lengthField))
	f.hasCoding = f.hasCoding || bytes.EqualFold(name, []byte(codingField))
}
