package caller

import (
	"bytes"
	"crypto/sha256"
	"encoding/binary"
	"encoding/json"
	"strconv"
)

// withSeed adds a sampling seed that is derived from the request alone, unless the caller has set one. If another instance
// has to generate the answer again, it then produces the same tokens and can continue after those that the caller already
// has.
func withSeed(body []byte, workspace, id string) []byte {
	start := bytes.IndexByte(body, '{')
	if start < 0 || hasSeed(body) {
		return body
	}
	h := sha256.New()
	for _, part := range [][]byte{[]byte(workspace), []byte(id), body} {
		h.Write(part)
		h.Write([]byte{0})
	}
	const signBit = 1 << 31 // engines take a signed 32-bit seed
	seed := binary.BigEndian.Uint32(h.Sum(nil)) &^ signBit
	out := make([]byte, 0, len(body)+len(`"seed":2147483647,`))
	out = append(out, body[:start+1]...)
	out = append(out, `"seed":`...)
	out = strconv.AppendUint(out, uint64(seed), 10)
	out = append(out, ',')

	return append(out, body[start+1:]...)
}

func hasSeed(body []byte) bool {
	if !bytes.Contains(body, []byte(`seed`)) {
		return false
	}
	fields := struct {
		Seed json.RawMessage `json:"seed"`
	}{}

	return json.Unmarshal(body, &fields) == nil && len(fields.Seed) > 0
}
