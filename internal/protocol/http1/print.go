package http1

import (
	"bytes"
	"fmt"
)

// reasons are the reason phrases of the statuses that are sent.
var reasons = map[int]string{
	100: "Continue", 200: "OK", 400: "Bad Request", 404: "Not Found", 405: "Method Not Allowed",
	408: "Request Timeout", 413: "Content Too Large", 429: "Too Many Requests", 431: "Request Header Fields Too Large",
	500: "Internal Server Error", 501: "Not Implemented", 502: "Bad Gateway", 503: "Service Unavailable",
	504: "Gateway Timeout", 505: "HTTP Version Not Supported",
}

// Response prints a response. closing says that the connection is closed after it. The fields are pairs of a name and a
// value, which are printed as they are.
func Response(status int, closing bool, body []byte, fields ...string) []byte {
	var b bytes.Buffer
	fmt.Fprintf(&b, "HTTP/1.1 %d %s\r\n", status, reasons[status])
	printFields(&b, fields)
	if closing {
		b.WriteString("Connection: close\r\n")
	}
	fmt.Fprintf(&b, "Content-Length: %d\r\n\r\n", len(body))
	b.Write(body)
	return b.Bytes()
}

// Request prints a request. The fields are pairs of a name and a value, which are printed as they are. A nil body of any
// method but POST is left out with its length.
func Request(method, target, host string, body []byte, fields ...string) []byte {
	var b bytes.Buffer
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\n", method, target, host)
	printFields(&b, fields)
	if body != nil || method == "POST" {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(body))
	}
	b.WriteString("\r\n")
	b.Write(body)
	return b.Bytes()
}

func printFields(b *bytes.Buffer, fields []string) {
	for i := 0; i+1 < len(fields); i += 2 {
		fmt.Fprintf(b, "%s: %s\r\n", fields[i], fields[i+1])
	}
}
