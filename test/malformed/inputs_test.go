package malformed_test

import (
	"fmt"
	"math/rand/v2"
	"strings"
)

// Sizes of oversized inputs.
const (
	hugeLine   = 1 << 20
	manyHeads  = 20_000
	pipelined  = 200
	noiseBytes = 4 << 10
)

// input is one thing sent to an HTTP port.
type input struct {
	name string
	data []byte
}

func in(name string, lines ...string) input {
	return input{name: name, data: []byte(strings.Join(lines, "\r\n"))}
}

// noise is repeatable random bytes.
func noise(seed uint64, n int) []byte {
	rng := rand.New(rand.NewPCG(seed, 0))
	out := make([]byte, n)
	for i := range out {
		out[i] = byte(rng.UintN(256))
	}
	return out
}

// httpInputs is what no HTTP port may fall over. path is one that the port
// serves.
func httpInputs(path string) []input {
	get := "GET " + path + " HTTP/1.1"
	post := "POST " + path + " HTTP/1.1"
	host := "Host: entry"
	return []input{
		{name: "noise", data: noise(1, noiseBytes)},
		{name: "zeros", data: make([]byte, noiseBytes)},
		{name: "TLS", data: append([]byte{0x16, 3, 1, 2, 0, 1, 0, 1, 0xfc, 3, 3}, noise(2, 512)...)},
		in("HTTP/2", "PRI * HTTP/2.0", "", "SM", "", "\x00\x00\x00\x04\x00\x00\x00\x00\x00"),
		in("another protocol", "SSH-2.0-client", ""),
		in("no version", "GET "+path, "", ""),
		in("unknown version", "GET "+path+" HTTP/9.9", host, "", ""),
		in("no host", get, "", ""),
		in("two hosts", get, host, "Host: other", "", ""),
		in("broken host", get, "Host: a b\x01", "", ""),
		in("no colon", get, host, "no colon here", "", ""),
		in("space in a name", get, host, "X Y: z", "", ""),
		in("zero byte in a value", get, host, "X-Y: a\x00b", "", ""),
		in("folded", get, host, "X-Y: a", "  b", "", ""),
		in("broken escape", "GET /%zz HTTP/1.1", host, "", ""),
		in("zero in the path", "GET /%00/%00 HTTP/1.1", host, "", ""),
		in("climbing path", "GET "+path+"/../../../etc/passwd HTTP/1.1", host, "", ""),
		in("slashes", "GET //////// HTTP/1.1", host, "", ""),
		in("asterisk", "OPTIONS * HTTP/1.1", host, "", ""),
		in("absolute", "GET http://other"+path+" HTTP/1.1", host, "", ""),
		in("connect", "CONNECT other:443 HTTP/1.1", host, "", ""),
		in("trace", "TRACE "+path+" HTTP/1.1", host, "", ""),
		in("unknown method", "\x7fGET "+path+" HTTP/1.1", host, "", ""),
		in("both lengths", post, host, "Content-Length: 3", "Transfer-Encoding: chunked", "", "0", "", ""),
		in("two lengths", post, host, "Content-Length: 3", "Content-Length: 4", "", "abc"),
		in("negative length", post, host, "Content-Length: -1", "", ""),
		in("huge length", post, host, "Content-Length: 9223372036854775807", "", "abc"),
		in("overflowing length", post, host, "Content-Length: 99999999999999999999", "", "abc"),
		in("unknown encoding", post, host, "Transfer-Encoding: gzip, chunked", "", ""),
		in("broken chunk", post, host, "Transfer-Encoding: chunked", "", "xyz", "abc", ""),
		in("overflowing chunk", post, host, "Transfer-Encoding: chunked", "", "fffffffffffffffff", "abc", ""),
		in("chunk of the largest size", post, host, "Transfer-Encoding: chunked", "", "7fffffffffffffff", "abc", ""),
		in("chunk extension", post, host, "Transfer-Encoding: chunked", "", "1;"+strings.Repeat("e", hugeLine), "a", "0", "", ""),
		in("trailers", post, host, "Transfer-Encoding: chunked", "", "0", strings.Repeat("T: t\r\n", manyHeads), ""),
		in("body cut", post, host, "Content-Length: 1000", "", "abc"),
		in("long path", "GET /"+strings.Repeat("p", hugeLine)+" HTTP/1.1", host, "", ""),
		in("long header", get, host, "X-Y: "+strings.Repeat("v", hugeLine), "", ""),
		in("many headers", get, host, strings.Repeat("X-Y: v\r\n", manyHeads), ""),
		in("no end of headers", get, host, "X-Y: v"),
		in("upgrade", get, host, "Connection: Upgrade", "Upgrade: websocket", "", ""),
		in("unknown expectation", post, host, "Expect: the-unexpected", "Content-Length: 1", "", "a"),
		in("pipelined", strings.Repeat(get+"\r\n"+host+"\r\n\r\n", pipelined)),
	}
}

// callerInputs is what only callers' requests have.
func callerInputs(path string, maxBody int) []input {
	get := "GET " + path + " HTTP/1.1"
	post := "POST " + path + " HTTP/1.1"
	host := "Host: entry"
	large := strings.Repeat("b", maxBody+1)
	return []input{
		in("body too large", post, host, fmt.Sprintf("Content-Length: %d", len(large)), "", large),
		in("chunks too large", post, host, "Transfer-Encoding: chunked", "", fmt.Sprintf("%x", len(large)), large, "0", "", ""),
		in("deadline negative", get, host, "X-Deadline-Ms: -1", "", ""),
		in("deadline overflowing", get, host, "X-Deadline-Ms: 99999999999999999999", "", ""),
		in("deadline no number", get, host, "X-Deadline-Ms: soon", "", ""),
		in("deadline at once", get, host, "X-Deadline-Ms: 1", "", ""),
		in("long request id", get, host, "X-Request-Id: "+strings.Repeat("i", 10_000), "", ""),
		in("odd request id", get, host, "X-Request-Id: \t\xff\xfe", "", ""),
		in("long key", post, host, "Idempotency-Key: "+strings.Repeat("k", 10_000), "Content-Length: 0", "", ""),
		in("long caller", get, host, "X-Caller: "+strings.Repeat("c", 10_000), "", ""),
		in("hop headers", get, host, "Connection: X-Request-Id, Host, X-Caller-Request-Id, Content-Length", "", ""),
		in("own headers", get, host, "X-Caller-Request-Id: forged", "X-Not-Run: true", "X-Forwarded-For: "+strings.Repeat("1.1.1.1, ", 1000), "", ""),
		in("caller that goes", get, host, "X-Work-Ms: 1000", "", ""),
	}
}
