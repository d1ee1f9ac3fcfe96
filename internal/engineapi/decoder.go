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

// ErrLineTooLong reports a line longer than MaxLineBytes.
var ErrLineTooLong = errors.New("line of the engine's stream is too long")

// ErrMalformedEvent reports an event that is not a token or an end.
var ErrMalformedEvent = errors.New("malformed event in the engine's stream")

// Decoder reads the events of one stream.
type Decoder struct{ reader *bufio.Reader }

// NewDecoder returns a decoder that reads from r.
func NewDecoder(r io.Reader) *Decoder {
	return &Decoder{reader: bufio.NewReaderSize(r, MaxLineBytes)}
}

// Next returns the next event. A line that lacks its line feed is dropped as incomplete;
// io.EOF or io.ErrUnexpectedEOF then tells that the stream broke.
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
