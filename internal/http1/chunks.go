package http1

import (
	"bytes"
)

// Chunks reads a chunked body: RFC 9112, 7.1. It is fed bytes in any pieces.
type Chunks struct {
	Max  int64 // bytes of the whole body; 0: unbounded, for a stream that is consumed as it comes
	left int64 // of the present chunk's data
	read int64
	at   part
	line []byte // of a line that is not whole
	tail int    // bytes of the trailer section
}

type part int

const (
	atSize part = iota
	atData
	atDataEnd
	atTrailer
	atEnd
)

// Feed reads b and appends the data in it to dst. rest is what follows the body's end; done says that it
// has been reached.
func (c *Chunks) Feed(dst, b []byte) (out, rest []byte, done bool, err error) {
	for {
		switch c.at {
		case atEnd:
			return dst, b, true, nil
		case atData:
			n := min(int64(len(b)), c.left)
			dst, b, c.left = append(dst, b[:n]...), b[n:], c.left-n
			if c.left > 0 {
				return dst, nil, false, nil
			}
			c.at = atDataEnd
			continue
		}
		line, rest, ok, err := c.whole(b)
		if err != nil || !ok {
			return dst, nil, false, err
		}
		b = rest
		switch c.at {
		case atSize:
			if c.left, err = chunkSize(line); err != nil {
				return dst, nil, false, err
			}
			c.read += c.left
			if c.Max > 0 && c.read > c.Max {
				return dst, nil, false, bad(413, "a chunked body of over %d bytes", c.Max)
			}
			if c.at = atData; c.left == 0 {
				c.at = atTrailer
			}
		case atDataEnd:
			if len(line) != 0 {
				return dst, nil, false, bad(400, "a chunk longer than it says")
			}
			c.at = atSize
		case atTrailer:
			if len(line) == 0 {
				c.at = atEnd
			}
		}
		c.line = c.line[:0]
	}
}

// whole takes one line, with what an earlier call held of it.
func (c *Chunks) whole(b []byte) (line, rest []byte, ok bool, err error) {
	i := bytes.IndexByte(b, '\n')
	n := i + 1
	if i < 0 {
		n = len(b)
	}
	if c.at == atTrailer {
		if c.tail += n; c.tail > maxTrailer {
			return nil, nil, false, bad(431, "trailers of over %d bytes", maxTrailer)
		}
	}
	if len(c.line)+n > maxChunk {
		return nil, nil, false, bad(400, "a chunk's line of over %d bytes", maxChunk)
	}
	c.line = append(c.line, b[:n]...)
	if i < 0 {
		return nil, nil, false, nil
	}
	line, ok = bytes.CutSuffix(c.line, []byte("\r\n"))
	if !ok {
		return nil, nil, false, bad(400, "a chunk's line that ends in LF alone")
	}
	return line, b[n:], true, nil
}

// chunkSize reads a size in hexadecimal digits, before any extension.
func chunkSize(line []byte) (int64, error) {
	size, _, _ := bytes.Cut(line, []byte(";"))
	size = bytes.TrimRight(size, " \t")
	if len(size) == 0 || len(size) > 15 {
		return 0, bad(400, "chunk size %q: expected 1 to 15 hexadecimal digits", clip(size))
	}
	n := int64(0)
	for _, d := range size {
		switch c := lower(d); {
		case '0' <= c && c <= '9':
			n = n<<4 + int64(c-'0')
		case 'a' <= c && c <= 'f':
			n = n<<4 + int64(c-'a') + 10
		default:
			return 0, bad(400, "chunk size %q: expected hexadecimal digits", clip(size))
		}
	}
	return n, nil
}
