package http1

import "strconv"

// reasonPhrases are the reason phrases of the statuses that this host sends.
var reasonPhrases = map[int]string{100: "Continue", 200: "OK", 400: "Bad Request", 404: "Not Found", 405: "Method Not Allowed",
	408: "Request Timeout", 409: "Conflict", 411: "Length Required", 413: "Content Too Large",
	429: "Too Many Requests", 431: "Request Header Fields Too Large", 500: "Internal Server Error",
	501: "Not Implemented", 502: "Bad Gateway", 503: "Service Unavailable", 504: "Gateway Timeout",
	505: "HTTP Version Not Supported"}

// AppendStatus appends the status line of a response.
func AppendStatus(b []byte, status int) []byte {
	b = append(b, "HTTP/1.1 "...)
	b = strconv.AppendInt(b, int64(status), 10)
	b = append(b, ' ')
	b = append(b, reasonPhrases[status]...)
	return append(b, "\r\n"...)
}

// AppendRequestLine appends the request line of a request.
func AppendRequestLine(b []byte, method, target string) []byte {
	b = append(append(b, method...), ' ')
	return append(append(b, target...), " HTTP/1.1\r\n"...)
}

// AppendField appends a header field.
func AppendField(b []byte, name, value string) []byte {
	b = append(append(b, name...), ": "...)
	return append(append(b, value...), "\r\n"...)
}

// AppendIntField appends a header field with a number as its value.
func AppendIntField(b []byte, name string, value int64) []byte {
	b = append(append(b, name...), ": "...)
	return append(strconv.AppendInt(b, value, 10), "\r\n"...)
}

// AppendEnd appends the empty line that ends a head.
func AppendEnd(b []byte) []byte { return append(b, "\r\n"...) }
