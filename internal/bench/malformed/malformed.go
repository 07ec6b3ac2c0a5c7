// Package malformed holds inputs that no partner writes on purpose and that decoders have
// to reject or survive. Only tests import it.
package malformed

import "strings"

// Depths and sizes of the inputs.
const (
	deepNesting = 200_000
	megabyte    = 1 << 20
)

// JSON returns documents that are malformed, or odd where a decoder expects an object.
func JSON() []string {
	return []string{
		"",
		"null",
		"[]",
		"7",
		`"`,
		"{",
		"\xff\xfe\x00",
		`{"a":"` + "\xc3\x28" + `"}`,
		`{"a":1,"a":"2","A":[3]}`,
		strings.Repeat("[", deepNesting),
		strings.Repeat(`{"a":`, deepNesting),
		strings.Repeat("[", deepNesting) + strings.Repeat("]", deepNesting),
		`{"a":1e999}`,
		`{"a":-99999999999999999999999999999999}`,
		`{"a":"` + strings.Repeat("x", megabyte) + `"}`,
	}
}

// Numbers returns numbers in JSON that are out of the range of most fields.
func Numbers() []string {
	return []string{"-1", "1e999", "1e30", "9223372036854775807", "9223372036854775808", "-9223372036854775808", "4294967296", "0.5", "null", `"7"`, "true", "[]", "{}"}
}

// Addresses returns texts that are no IP address with a port.
func Addresses() []string {
	return []string{"", ":", "10.0.0.1", "10.0.0.1:", "10.0.0.1:0", "10.0.0.1:65536", "10.0.0.1:99999999999999999999", "10.0.0.1:-1", "10.0.0.1:80:80", "worker.example:80", "10.0.0.1:80/path", "10.0.0.1:http", "[::1:80", "\x00:80"}
}

// CBOR returns documents that are malformed, or odd where a decoder expects a map.
func CBOR() []string {
	return []string{
		"",
		"\xf6",
		"\xff",
		"\xa1",
		"\x80",
		"\xa1\x01",
		"\xa2\x01\x01\x01\x02",                 // a key twice
		"\x9b\xff\xff\xff\xff\xff\xff\xff\xff", // an array of 2^64-1 elements
		"\xbb\xff\xff\xff\xff\xff\xff\xff\xff", // a map as large
		"\x5b\x7f\xff\xff\xff\xff\xff\xff\xff", // a byte string of 2^63-1 bytes
		"\xa1\x01\x1b\xff\xff\xff\xff\xff\xff\xff\xff", // a number over 2^63
		"\xa1\x01\xfb\x7f\xf8\x00\x00\x00\x00\x00\x00", // not a number
		strings.Repeat("\x81", deepNesting),
		"\x7a\x00\x10\x00\x00" + strings.Repeat("x", megabyte),
	}
}
