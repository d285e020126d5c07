package pipeline

// chunking finds the end of a chunked body. It accepts the plain form only, which all implementations
// read alike: sizes of 1 to 15 hexadecimal digits, without chunk extensions and trailers.
type chunking struct {
	part   chunkPart
	digits int
	left   int64 // size of the chunk, or what is not read of it
}

type chunkPart int

const (
	chunkSize chunkPart = iota
	chunkSizeEnd
	chunkData
	chunkDataCR
	chunkDataLF
	lastCR
	lastLF
)

const maxSizeDigits = 15

// advance reads data of the body. n is the length of the part that belongs to the body, ended reports
// whether the body ends there. ok is false if the body does not have the plain form.
func (c *chunking) advance(data []byte) (n int, ended, ok bool) {
	for n < len(data) {
		if c.part == chunkData {
			step := min(int64(len(data)-n), c.left)
			n += int(step)
			if c.left -= step; c.left == 0 {
				c.part = chunkDataCR
			}
			continue
		}
		if !c.next(data[n]) {
			return n, false, false
		}
		n++
		if c.part == lastLF && data[n-1] == '\n' {
			return n, true, true
		}
	}
	return n, false, true
}

// next reads a byte that is not data of a chunk, and reports whether it has the plain form.
func (c *chunking) next(b byte) bool {
	switch c.part {
	case chunkSize:
		if b == '\r' && c.digits > 0 {
			c.part = chunkSizeEnd
			return true
		}
		digit, ok := hexDigit(b)
		c.digits++
		c.left = c.left<<4 | digit
		return ok && c.digits <= maxSizeDigits
	case chunkSizeEnd:
		c.part = chunkData
		if c.left == 0 {
			c.part = lastCR
		}
		return b == '\n'
	case chunkDataCR:
		c.part = chunkDataLF
		return b == '\r'
	case chunkDataLF:
		*c = chunking{}
		return b == '\n'
	case lastCR:
		c.part = lastLF
		return b == '\r'
	default:
		return b == '\n'
	}
}

func hexDigit(b byte) (int64, bool) {
	switch {
	case '0' <= b && b <= '9':
		return int64(b - '0'), true
	case 'a' <= b && b <= 'f':
		return int64(b-'a') + 10, true
	case 'A' <= b && b <= 'F':
		return int64(b-'A') + 10, true
	default:
		return 0, false
	}
}
