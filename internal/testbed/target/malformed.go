package target

import (
	"math/rand/v2"
	"strconv"
	"strings"
)

// malformedResponses are messages that are not HTTP/1.1 responses. FIELDS stands for the fields of the response
// that they take the place of, LENGTH for the length of its body in decimal, CHUNK for that in hexadecimal and
// BODY for the body.
var malformedResponses = []string{
	"\x00\x01 no answer\r\n\r\n",
	"HTTP/1.1 000 \r\nFIELDSContent-Length: LENGTH\r\n\r\nBODY",
	"HTTP/1.1 000 \r\nFIELDSX-Not-Executed: 1\r\nContent-Length: LENGTH\r\n\r\nBODY",
	"HTTP/1.1 000 \r\nFIELDSServer-Leaving: 1\r\nServer-Limit: 0\r\nContent-Length: LENGTH\r\n\r\nBODY",
	"HTTP/1.1 777 Odd\r\nFIELDSContent-Length: LENGTH\r\n\r\nBODY",
	"HTTP/1.1 101 Switching Protocols\r\nConnection: upgrade\r\nUpgrade: x\r\n\r\nHTTP/1.1 200 OK\r\nFIELDSContent-Length: LENGTH\r\n\r\nBODY",
	"HTTP/2.0 200 OK\r\nFIELDSContent-Length: LENGTH\r\n\r\nBODY",
	"HTTP/1.1 200 OK\r\nFIELDSX Odd: 1\r\nContent-Length: LENGTH\r\n\r\nBODY",
	"HTTP/1.1 503 Full\r\nFIELDSX Odd: 1\r\nX-Not-Executed: 1\r\nContent-Length: LENGTH\r\n\r\nBODY",
	"HTTP/1.1 200 OK\r\nFIELDSX\x01Odd: 1\r\nContent-Length: LENGTH\r\n\r\nBODY",
	"HTTP/1.1 200 OK\r\nFIELDSContent-Length : LENGTH\r\n\r\nBODYmore",
	"HTTP/1.1 200 OK\r\nFIELDSTransfer-Encoding : chunked\r\n\r\nCHUNK\r\nBODY\r\n0\r\n\r\n",
	"HTTP/1.0 200 OK\r\nFIELDSTransfer-Encoding: chunked\r\n\r\nCHUNK\r\nBODY\r\n0\r\n\r\n",
	"HTTP/1.1 200 OK\r\nFIELDSTransfer-Encoding: chunked\r\n\r\nCHUNK\r\nBODY\r\n0\r\nX Odd: 1\r\n\r\n",
	"HTTP/1.1 200 OK\r\nFIELDSTransfer-Encoding: chunked\r\n\r\nCHUNK\r\nBODY\r\n",
}

// malformedResponse returns one of malformedResponses in place of a response with the given fields and body.
func malformedResponse(fields string, body []byte) string {
	length := int64(len(body))
	return strings.NewReplacer("FIELDS", fields, "LENGTH", strconv.FormatInt(length, 10), "CHUNK", strconv.FormatInt(length, 16), "BODY", string(body)).
		Replace(malformedResponses[rand.IntN(len(malformedResponses))])
}
