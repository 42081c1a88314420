package beat

import (
	"bytes"
	"compress/zlib"
	"io"
	"sync"

	"github.com/fxamacker/cbor/v2"

	"tarragonwalk/core/fault"
	"tarragonwalk/core/gossip"
)

const (
	// compressAbove is the size from which a message is compressed. Relayed beats repeat the same field names and hosts, so
	// that they shrink to a sixth or less.
	compressAbove = 1 << 10
	// compressedMark is the first byte of a zlib stream; a beat never begins with it, since its first byte is that of a map.
	compressedMark = 0x78
	// maxMessage bounds a message after decompression.
	maxMessage = 512 << 10
	// maxElements is above the backend servers, jobs and instances that one beat names at the largest size.
	maxElements = 8192
	maxNesting  = 8
)

// decoder bounds what a datagram of a stranger can make an instance allocate.
var decoder = newDecoder()

// compressors holds zlib writers, which allocate several hundred KB each.
var compressors = sync.Pool{New: func() any {
	w, err := zlib.NewWriterLevel(io.Discard, zlib.BestSpeed)
	if err != nil {
		panic(err) // only an unknown level can cause it
	}

	return w
}}

func newDecoder() cbor.DecMode {
	m, err := cbor.DecOptions{
		MaxArrayElements: maxElements,
		MaxMapPairs:      maxElements,
		MaxNestedLevels:  maxNesting,
	}.DecMode()
	if err != nil {
		panic(err) // only limits that the library does not allow can cause it
	}

	return m
}

func encode(b *gossip.Beat) ([]byte, error) {
	message, err := cbor.Marshal(b)
	if err != nil || len(message) <= compressAbove {
		return message, err //nolint:wrapcheck // the caller logs it as it is
	}
	w := compressors.Get().(*zlib.Writer) //nolint:forcetypeassert // the pool holds nothing else
	defer compressors.Put(w)
	var out bytes.Buffer
	w.Reset(&out)
	if _, err := w.Write(message); err != nil {
		return nil, fault.Wrap(err, fault.CodeInternal, "beat not compressed")
	}
	if err := w.Close(); err != nil {
		return nil, fault.Wrap(err, fault.CodeInternal, "beat not compressed")
	}

	return out.Bytes(), nil
}

// Decode reads a beat and those that it relays; a failure has code invalid.
func Decode(p []byte) (*gossip.Beat, error) {
	if len(p) > 0 && p[0] == compressedMark {
		r, err := zlib.NewReader(bytes.NewReader(p))
		if err != nil {
			return nil, fault.Wrap(err, fault.CodeInvalid, "beat not decompressed")
		}
		if p, err = io.ReadAll(io.LimitReader(r, maxMessage)); err != nil {
			return nil, fault.Wrap(err, fault.CodeInvalid, "beat not decompressed")
		}
	}
	b := &gossip.Beat{}
	if err := decoder.Unmarshal(p, b); err != nil {
		return nil, fault.Wrap(err, fault.CodeInvalid, "unreadable beat")
	}
	if !named(b) {
		return nil, fault.New(fault.CodeInvalid, "beat without a sender")
	}
	for i := range b.Relayed {
		if r := &b.Relayed[i]; !named(&r.Beat) || r.AgeMillis < 0 {
			return nil, fault.New(fault.CodeInvalid, "relayed beat without a sender or age")
		}
	}

	return b, nil
}

func named(b *gossip.Beat) bool {
	return b.Sender.Name != "" && b.Sender.Incarnation != "" && b.Sender.Peer.IsValid()
}
