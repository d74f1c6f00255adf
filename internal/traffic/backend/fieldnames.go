package backend

import (
	"bytes"
	"fmt"
	"net/http"

	"golang.org/x/net/http/httpguts"
)

// fieldNames checks the names of the fields in a response head while its bytes are read. net/http accepts blanks in a name, so
// that a length or a coding may not be seen, and it joins a line that begins with a blank to the one before it (RFC 9112,
// sections 5.1 and 5.2).
type fieldNames struct {
	position headPosition
}

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
	f.position = inLine
}

// check checks the bytes that follow. It returns errMalformed for a byte that can't stand in a name. Bytes behind the head are
// ignored.
func (f *fieldNames) check(head []byte) error {
	for len(head) > 0 && f.position != behindHead {
		if f.position == inLine {
			_, rest, ended := bytes.Cut(head, []byte{'\n'})
			if ended {
				f.position = atLineStart
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
	case httpguts.IsTokenRune(rune(b)):
		f.position = inName
	default:
		return fmt.Errorf("%w: %q in the name of a field", errMalformed, b)
	}
	return nil
}

// nameTerminator ends the name of a field.
const nameTerminator = ':'

// checkTrailer returns an error for a field behind a body in chunks whose name is none.
func checkTrailer(trailer http.Header) error {
	for name := range trailer {
		if !httpguts.ValidHeaderFieldName(name) {
			return fmt.Errorf("%w: %q is no name of a field", errMalformed, name)
		}
	}
	return nil
}
