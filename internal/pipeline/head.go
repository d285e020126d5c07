package pipeline

import "bytes"

// head is what the splitter needs to know of a request head.
type head struct {
	repeatable bool  // GET or HEAD without a body, an expectation or an upgrade: may be read ahead
	closes     bool  // the client asks to close the connection after the response
	body       int64 // length of the body, unless it is chunked
	chunked    bool
}

var endOfHead = []byte("\r\n\r\n")

// parseHead parses a complete request head, including its final empty line. It is stricter than
// net/http: ok is false for heads that net/http may read in another way than this function, or whose
// end or body length it cannot tell. These include line ends without CR, continuation lines, transfer
// codings other than chunked, upgrades, versions other than 1.1 and requests without a Host.
func parseHead(data []byte) (h head, ok bool) {
	line, rest, _ := bytes.Cut(data, crlf)
	method, line, _ := bytes.Cut(line, space)
	target, version, _ := bytes.Cut(line, space)
	if !isToken(method) || len(target) == 0 || bytes.ContainsAny(target, "\r\n") || string(version) != "HTTP/1.1" || string(method) == "CONNECT" {
		return head{}, false
	}
	hosts, lengths, expects := 0, 0, false
	for {
		line, rest, ok = bytes.Cut(rest, crlf)
		if !ok {
			return head{}, false
		}
		if len(line) == 0 {
			break
		}
		name, value, found := bytes.Cut(line, colon)
		if !found || !isToken(name) || bytes.ContainsAny(value, "\r\n") {
			return head{}, false
		}
		value = bytes.Trim(value, " \t")
		switch {
		case bytes.EqualFold(name, contentLength):
			lengths++
			if h.body, ok = parseLength(value); !ok || lengths > 1 {
				return head{}, false
			}
		case bytes.EqualFold(name, host):
			hosts++
		case bytes.EqualFold(name, transferEncoding):
			if h.chunked || !bytes.EqualFold(value, chunkedCoding) {
				return head{}, false
			}
			h.chunked = true
		case bytes.EqualFold(name, upgrade):
			return head{}, false
		case bytes.EqualFold(name, expect):
			expects = true
		case bytes.EqualFold(name, connection):
			h.closes = h.closes || bytes.Contains(bytes.ToLower(value), closeOption)
		}
	}
	isRead := string(method) == "GET" || string(method) == "HEAD"
	h.repeatable = isRead && h.body == 0 && !h.chunked && !expects
	return h, hosts == 1 && len(rest) == 0 && (!h.chunked || lengths == 0)
}

var (
	crlf             = []byte("\r\n")
	space            = []byte(" ")
	colon            = []byte(":")
	host             = []byte("Host")
	contentLength    = []byte("Content-Length")
	transferEncoding = []byte("Transfer-Encoding")
	chunkedCoding    = []byte("chunked")
	upgrade          = []byte("Upgrade")
	expect           = []byte("Expect")
	connection       = []byte("Connection")
	closeOption      = []byte("close")
)

// parseLength parses a Content-Length of at most 18 digits, which always fits into an int64.
func parseLength(text []byte) (length int64, ok bool) {
	if len(text) == 0 || len(text) > 18 {
		return 0, false
	}
	for _, digit := range text {
		if digit < '0' || digit > '9' {
			return 0, false
		}
		length = length*10 + int64(digit-'0')
	}
	return length, true
}

// isToken reports whether text is a token of RFC 9110, section 5.6.2.
func isToken(text []byte) bool {
	for _, c := range text {
		switch {
		case 'a' <= c && c <= 'z', 'A' <= c && c <= 'Z', '0' <= c && c <= '9':
		case bytes.IndexByte(tokenMarks, c) >= 0:
		default:
			return false
		}
	}
	return len(text) > 0
}

var tokenMarks = []byte("!#$%&'*+-.^_`|~")
