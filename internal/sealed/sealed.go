// Package sealed frames file contents so that truncated or modified files are detected. A frame
// is a line of text with kind, format, length and checksum, followed by the body:
//
//	KIND FORMAT LENGTH CHECKSUM\n
//	body of LENGTH bytes
//
// FORMAT and LENGTH are decimal, CHECKSUM is the BLAKE3 digest (32 bytes) of the body in
// hexadecimal. Package shares uses it for solutions, package forecast for its records.
package sealed

import (
	"bytes"
	"encoding/hex"
	"errors"
	"fmt"
	"strconv"
	"strings"

	"github.com/zeebo/blake3"
)

// ErrNewerFormat is returned for a file of a newer format than the program supports.
var ErrNewerFormat = errors.New("it is of a newer format than this program reads: update the program, or write the file with an older one")

// Seal returns body in a frame of the given kind and format.
func Seal(kind string, format int, body []byte) []byte {
	sum := blake3.Sum256(body)
	return append(fmt.Appendf(nil, "%s %d %d %x\n", kind, format, len(body), sum), body...)
}

// Open checks a frame and returns its body. It returns an error if the frame is not of the given
// kind, its format is above maxFormat, its body is longer than maxBytes, or it is damaged.
func Open(kind string, maxFormat int, maxBytes int64, b []byte) (body []byte, err error) {
	line, body, ok := bytes.Cut(b, []byte("\n"))
	if !ok {
		return nil, fmt.Errorf("its first line does not end within its %d bytes: it was cut, or is not a file of kind %s", len(b), kind)
	}
	fields := strings.Split(string(line[:min(len(line), 200)]), " ")
	if len(fields) != 4 || fields[0] != kind {
		return nil, fmt.Errorf("line 1 is %.40q: expected %s FORMAT LENGTH CHECKSUM", line, kind)
	}
	format, err := strconv.ParseUint(fields[1], 10, 31)
	if err != nil || format == 0 {
		return nil, fmt.Errorf("line 1: format %q: expected a number of 1 or more", fields[1])
	}
	if int(format) > maxFormat {
		return nil, fmt.Errorf("%w (format %d, expected at most %d)", ErrNewerFormat, format, maxFormat)
	}
	length, err := strconv.ParseInt(fields[2], 10, 64)
	if err != nil || length < 0 || length > maxBytes {
		return nil, fmt.Errorf("line 1: length %q: expected 0 to %d", fields[2], maxBytes)
	}
	if int64(len(body)) != length {
		return nil, fmt.Errorf("%d bytes follow the first line, which says %d: it was cut or added to", len(body), length)
	}
	if sum := blake3.Sum256(body); hex.EncodeToString(sum[:]) != fields[3] {
		return nil, errors.New("its bytes do not have its checksum: fetch or write it again")
	}
	return body, nil
}
