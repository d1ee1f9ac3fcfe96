package engineapi

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"io"

	"github.com/rotisserie/eris"
)

// MaxLineBytes bounds one line of a stream.
const MaxLineBytes = 64 << 10

// MaxHeaderBytes bounds the header of an engine's response. Parsed, a header of very short lines occupies a
// multiple of its bytes, and the default of net/http is 10 MB.
const MaxHeaderBytes = 16 << 10

// ErrLineTooLong is returned for a line longer than MaxLineBytes.
var ErrLineTooLong = errors.New("line of the engine's stream is too long")

// ErrMalformedEvent is returned for an event that cannot be decoded.
var ErrMalformedEvent = errors.New("malformed event in the engine's stream")

// Decoder decodes the server-sent events of one stream.
type Decoder struct{ reader *bufio.Reader }

// NewDecoder returns a decoder that reads from r.
func NewDecoder(r io.Reader) *Decoder {
	return &Decoder{reader: bufio.NewReaderSize(r, MaxLineBytes)}
}

// Next returns the next event. An incomplete last line is discarded, and the error is
// io.EOF or io.ErrUnexpectedEOF.
func (d *Decoder) Next() (StreamEvent, error) {
	for {
		line, err := d.reader.ReadSlice('\n')
		if errors.Is(err, bufio.ErrBufferFull) {
			return StreamEvent{}, ErrLineTooLong
		}
		if err != nil {
			return StreamEvent{}, err
		}
		data, found := bytes.CutPrefix(bytes.TrimRight(line, "\r\n"), []byte("data:"))
		if !found {
			continue
		}
		var event StreamEvent
		if err := json.Unmarshal(data, &event); err != nil {
			return StreamEvent{}, eris.Wrap(errors.Join(ErrMalformedEvent, err), "decode event")
		}
		return event, nil
	}
}
