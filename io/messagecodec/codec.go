package messagecodec

import (
	"bytes"
	"compress/zlib"
	"io"
	"sync"

	"github.com/fxamacker/cbor/v2"

	"tarragonwalk/core/fault"
)

const (
	// compressAbove is the size in bytes above which a message is compressed. Large messages repeat the same field names and
	// hosts, so they shrink to a sixth or less.
	compressAbove = 1 << 10
	// zlibHeader is the first byte of a zlib stream. The CBOR encoding of a struct never begins with it, since it begins with
	// the header of a map.
	zlibHeader = 0x78
	// maxElements is above the number of routes, backend servers, jobs and instances in a message of the largest fleet.
	maxElements = 32768
	maxNesting  = 8
	// maxKeptBytes bounds the buffers that are kept for the next message.
	maxKeptBytes = 256 << 10
)

// compressors holds zlib writers, which allocate several hundred KB each.
var compressors = sync.Pool{New: func() any {
	w, err := zlib.NewWriterLevel(io.Discard, zlib.BestSpeed)
	if err != nil {
		panic(err) // only an invalid level can cause it
	}

	return w
}}

// decompressor reads compressed messages, one at a time, into a buffer that it keeps.
type decompressor struct {
	reader  io.ReadCloser
	message bytes.Buffer
}

// decompressors holds decompressors, whose readers allocate some 40 KB each. An instance of a large fleet gets dozens of compressed
// messages a second.
var decompressors = sync.Pool{New: func() any {
	return &decompressor{}
}}

// read returns the decompressed message, which is valid until the next call, cut off after limit bytes.
func (d *decompressor) read(compressed []byte, limit int64) ([]byte, error) {
	source := bytes.NewReader(compressed)
	if resetter, ok := d.reader.(zlib.Resetter); ok {
		if err := resetter.Reset(source, nil); err != nil {
			return nil, err
		}
	} else {
		r, err := zlib.NewReader(source)
		if err != nil {
			return nil, err
		}
		d.reader = r
	}
	d.message.Reset()
	if _, err := d.message.ReadFrom(io.LimitReader(d.reader, limit)); err != nil {
		return nil, err
	}

	return d.message.Bytes(), nil
}

// keep returns the decompressor to the pool unless its buffer has become large.
func (d *decompressor) keep() {
	if d.message.Cap() <= maxKeptBytes {
		decompressors.Put(d)
	}
}

// decoder limits the memory that an untrusted message can make an instance allocate.
var decoder = newDecoder()

func newDecoder() cbor.DecMode {
	m, err := cbor.DecOptions{
		MaxArrayElements: maxElements,
		MaxMapPairs:      maxElements,
		MaxNestedLevels:  maxNesting,
	}.DecMode()
	if err != nil {
		panic(err) // only options that the library rejects can cause it
	}

	return m
}

// Codec encodes and decodes messages; it is safe for concurrent use.
type Codec struct {
	maxBytes int64
}

// New returns a codec for messages of at most maxBytes before compression.
func New(maxBytes int64) *Codec {
	return &Codec{
		maxBytes: maxBytes,
	}
}

// Encode returns the encoding of a struct; a failure has code internal.
func (*Codec) Encode(value any) ([]byte, error) {
	message, err := cbor.Marshal(value)
	if err != nil {
		return nil, fault.Wrap(err, fault.CodeInternal, "cannot encode message")
	}
	if len(message) <= compressAbove {
		return message, nil
	}
	w := compressors.Get().(*zlib.Writer) //nolint:forcetypeassert // the pool holds only these
	defer compressors.Put(w)
	var out bytes.Buffer
	w.Reset(&out)
	if _, err := w.Write(message); err != nil {
		return nil, fault.Wrap(err, fault.CodeInternal, "cannot compress message")
	}
	if err := w.Close(); err != nil {
		return nil, fault.Wrap(err, fault.CodeInternal, "cannot compress message")
	}

	return out.Bytes(), nil
}

// Decode reads a message into value, a pointer to a struct; a failure has code invalid.
func (c *Codec) Decode(message []byte, value any) error {
	if len(message) > 0 && message[0] == zlibHeader {
		d := decompressors.Get().(*decompressor) //nolint:forcetypeassert // the pool holds only these
		// The decoder copies all strings and byte strings, so the buffer may be used again.
		defer d.keep()
		var err error
		if message, err = d.read(message, c.maxBytes); err != nil {
			return fault.Wrap(err, fault.CodeInvalid, "cannot decompress message")
		}
	}
	if err := decoder.Unmarshal(message, value); err != nil {
		return fault.Wrap(err, fault.CodeInvalid, "cannot decode message")
	}

	return nil
}
