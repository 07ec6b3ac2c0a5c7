package worker

import (
	"bytes"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
	"github.com/go-faster/errors"

	"github.com/monsoonfold/monsoonfold/internal/fleet/unit"
)

// CheckParameter is the query parameter by which a caller asks for a response
// that it can check. Its value is an id of the caller's own.
const CheckParameter = "check"

// ErrIncomplete says that a response body is cut or changed.
var ErrIncomplete = errors.New("response body is cut or changed")

// Response is the body of a checkable response.
type Response struct {
	Worker  unit.InstanceID
	Request unit.RequestID // of the header Monsoonfold-Request
	Check   string
}

// encode returns the body with fill bytes of padding and a checksum at its end.
func (r Response) encode(path string, fill int) []byte {
	var b bytes.Buffer
	b.WriteString(string(r.Worker) + " " + path + "\n")
	b.WriteString("request " + string(r.Request) + "\n")
	b.WriteString("check " + r.Check + "\n")
	b.WriteString("fill " + strings.Repeat("x", fill) + "\n")
	sum := xxhash.Sum64(b.Bytes())
	b.WriteString("sum " + strconv.FormatUint(sum, 16) + "\n")
	return b.Bytes()
}

// ParseResponse parses a checkable body. It returns ErrIncomplete unless the
// body is exactly what a worker encoded.
func ParseResponse(body []byte) (Response, error) {
	text, ok := strings.CutSuffix(string(body), "\n")
	end := strings.LastIndexByte(text, '\n') + 1
	sum, found := strings.CutPrefix(text[end:], "sum ")
	if !ok || !found || sum != strconv.FormatUint(xxhash.Sum64String(text[:end]), 16) {
		return Response{}, ErrIncomplete
	}
	lines := strings.Split(text, "\n")
	if len(lines) != 5 {
		return Response{}, ErrIncomplete
	}
	name, _, _ := strings.Cut(lines[0], " ")
	request, requestOK := strings.CutPrefix(lines[1], "request ")
	check, checkOK := strings.CutPrefix(lines[2], "check ")
	if !requestOK || !checkOK {
		return Response{}, ErrIncomplete
	}
	return Response{Worker: unit.InstanceID(name), Request: unit.RequestID(request), Check: check}, nil
}
