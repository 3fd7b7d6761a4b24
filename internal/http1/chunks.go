package http1

import (
	"bytes"
	"math"

	"eiderhold/internal/buffer"
)

// ChunkDecoder decodes a chunked body (RFC 9112, 7.1) that is fed in pieces of any size.
type ChunkDecoder struct {
	Max          int64         // most bytes of the body; 0: unbounded, for a stream that is consumed as it arrives
	Arena        *buffer.Arena // of the decoded data; nil: the Go heap
	remaining    int64         // bytes left of the current chunk's data
	total        int64
	state        chunkState
	partialLine  []byte // bytes of an incomplete line
	trailerBytes int    // bytes read of the trailer section
}

// chunkState is the element of the chunked coding that is read next.
type chunkState int

const (
	stateSize chunkState = iota
	stateData
	stateDataEnd
	stateTrailer
	stateEnd
)

// Feed decodes b and appends its data to dst, which it returns as out. done reports that the end of the body has
// been reached; rest is then what follows it.
func (c *ChunkDecoder) Feed(dst, b []byte) (out, rest []byte, done bool, err error) {
	for {
		switch c.state {
		case stateEnd:
			return dst, b, true, nil
		case stateData:
			n := min(int64(len(b)), c.remaining)
			var ok bool
			if dst, ok = Append(c.Arena, dst, b[:n], c.most()); !ok {
				return dst, nil, false, errNoMemory
			}
			b, c.remaining = b[n:], c.remaining-n
			if c.remaining > 0 {
				return dst, nil, false, nil
			}
			c.state = stateDataEnd
			continue
		}
		line, rest, ok, err := c.readLine(b)
		if err != nil || !ok {
			return dst, nil, false, err
		}
		b = rest
		switch c.state {
		case stateSize:
			if c.remaining, err = parseChunkSize(line); err != nil {
				return dst, nil, false, err
			}
			c.total += c.remaining
			if c.Max > 0 && c.total > c.Max {
				return dst, nil, false, newError(413, "a chunked body of over %d bytes", c.Max)
			}
			if c.state = stateData; c.remaining == 0 {
				c.state = stateTrailer
			}
		case stateDataEnd:
			if len(line) != 0 {
				return dst, nil, false, newError(400, "a chunk longer than it says")
			}
			c.state = stateSize
		case stateTrailer:
			if len(line) == 0 {
				c.state = stateEnd
			}
		}
		c.partialLine = c.partialLine[:0]
	}
}

// most returns the largest length of the body.
func (c *ChunkDecoder) most() int {
	if c.Max > 0 {
		return int(c.Max)
	}
	return math.MaxInt
}

// Memory returns the number of bytes that the decoder takes, without the body.
func (c *ChunkDecoder) Memory() int {
	const structBytes = 96
	return structBytes + cap(c.partialLine)
}

// readLine reads one line, including the part of it that earlier calls have stored.
func (c *ChunkDecoder) readLine(b []byte) (line, rest []byte, ok bool, err error) {
	i := bytes.IndexByte(b, '\n')
	n := i + 1
	if i < 0 {
		n = len(b)
	}
	if c.state == stateTrailer {
		if c.trailerBytes += n; c.trailerBytes > maxTrailer {
			return nil, nil, false, newError(431, "trailers of over %d bytes", maxTrailer)
		}
	}
	if len(c.partialLine)+n > maxChunkLine {
		return nil, nil, false, newError(400, "a chunk's line of over %d bytes", maxChunkLine)
	}
	c.partialLine = append(c.partialLine, b[:n]...)
	if i < 0 {
		return nil, nil, false, nil
	}
	line, ok = bytes.CutSuffix(c.partialLine, []byte("\r\n"))
	if !ok {
		return nil, nil, false, newError(400, "a chunk's line that ends in LF alone")
	}
	return line, b[n:], true, nil
}

// parseChunkSize parses the hexadecimal size of a chunk and ignores extensions.
func parseChunkSize(line []byte) (int64, error) {
	size, _, _ := bytes.Cut(line, []byte(";"))
	size = bytes.TrimRight(size, " \t")
	if len(size) == 0 || len(size) > 15 {
		return 0, newError(400, "chunk size %q: expected 1 to 15 hexadecimal digits", truncate(size))
	}
	n := int64(0)
	for _, d := range size {
		switch c := lower(d); {
		case '0' <= c && c <= '9':
			n = n<<4 + int64(c-'0')
		case 'a' <= c && c <= 'f':
			n = n<<4 + int64(c-'a') + 10
		default:
			return 0, newError(400, "chunk size %q: expected hexadecimal digits", truncate(size))
		}
	}
	return n, nil
}
