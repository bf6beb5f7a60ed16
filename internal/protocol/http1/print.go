package http1

import (
	"bytes"
	"fmt"
)

// reasons maps the statuses that are sent to their reason phrases.
var reasons = map[int]string{
	100: "Continue", 200: "OK", 400: "Bad Request", 404: "Not Found", 405: "Method Not Allowed",
	408: "Request Timeout", 413: "Content Too Large", 429: "Too Many Requests", 431: "Request Header Fields Too Large",
	500: "Internal Server Error", 501: "Not Implemented", 502: "Bad Gateway", 503: "Service Unavailable",
	504: "Gateway Timeout", 505: "HTTP Version Not Supported",
}

// Response formats a response. If closing is set, it includes Connection: close. fields are pairs of name and value,
// which are not escaped.
func Response(status int, closing bool, body []byte, fields ...string) []byte {
	var b bytes.Buffer
	fmt.Fprintf(&b, "HTTP/1.1 %d %s\r\n", status, reasons[status])
	writeFields(&b, fields)
	if closing {
		b.WriteString("Connection: close\r\n")
	}
	fmt.Fprintf(&b, "Content-Length: %d\r\n\r\n", len(body))
	b.Write(body)
	return b.Bytes()
}

// Request formats a request. fields are pairs of name and value, which are not escaped. If body is nil, Content-Length
// is omitted, except for POST.
func Request(method, target, host string, body []byte, fields ...string) []byte {
	var b bytes.Buffer
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\n", method, target, host)
	writeFields(&b, fields)
	if body != nil || method == "POST" {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(body))
	}
	b.WriteString("\r\n")
	b.Write(body)
	return b.Bytes()
}

func writeFields(b *bytes.Buffer, fields []string) {
	for i := 0; i+1 < len(fields); i += 2 {
		fmt.Fprintf(b, "%s: %s\r\n", fields[i], fields[i+1])
	}
}
