package generations

import (
	"bytes"
	"encoding/json"
	"errors"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"bramleygap/internal/core/stream"
	"bramleygap/internal/entry/caller"
	"bramleygap/internal/result"
	"bramleygap/internal/wire"
)

const (
	// writeTimeout bounds a write to a caller that does not read.
	writeTimeout = 60 * time.Second
	// outputQueueSize is large enough for all pending Deliver effects and the Finish effect.
	outputQueueSize = stream.MaxBuffered + 2
)

var errAborted = errors.New("response aborted")

// extension is the bramleygap object of the final chunk or the whole response.
type extension struct {
	Generation string `json:"generation"`
	Tokens     uint64 `json:"tokens"`
	Checksum   uint32 `json:"checksum"`
	// TextChecksum is the CRC-32C of the UTF-8 text of the whole generation, including
	// text sent on earlier connections.
	TextChecksum uint32 `json:"text_checksum"`
}

type usage struct {
	PromptTokens     int    `json:"prompt_tokens"`
	CompletionTokens uint64 `json:"completion_tokens"`
	TotalTokens      uint64 `json:"total_tokens"`
}

type chatText struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content"`
}

type choice struct {
	Index        int       `json:"index"`
	Text         *string   `json:"text,omitempty"`
	Delta        *chatText `json:"delta,omitempty"`
	Message      *chatText `json:"message,omitempty"`
	Logprobs     *struct{} `json:"logprobs"`
	FinishReason *string   `json:"finish_reason"`
}

type chunk struct {
	ID         string     `json:"id"`
	Object     string     `json:"object"`
	Created    int64      `json:"created"`
	Model      string     `json:"model"`
	Choices    []choice   `json:"choices"`
	Usage      *usage     `json:"usage,omitempty"`
	Bramleygap *extension `json:"bramleygap,omitempty"`
}

// output writes the response of one request. The goroutine of run owns the response writer.
type output struct {
	writer     http.ResponseWriter
	controller *http.ResponseController
	refusals   *caller.Refusals
	spec       *wire.GenerationSpec
	streamed   bool
	chat       bool
	queue      chan stream.Effect // Deliver and Finish
	// resumable is set once the caller may have received an event id.
	resumable atomic.Bool
	aborted   atomic.Bool

	joiner       stream.TextJoiner
	textChecksum uint32          // TextChecksum of the text so far
	text         strings.Builder // only if not streamed
	started      bool            // response headers were sent
	firstChunk   bool            // the next chunk is the generation's first one
	eventID      stream.EventID
	hasEventID   bool
}

func (h *Handler) newOutput(w http.ResponseWriter, spec *wire.GenerationSpec, streamed bool, from uint64) *output {
	return &output{
		writer:     w,
		controller: http.NewResponseController(w),
		refusals:   h.options.Refusals,
		spec:       spec,
		streamed:   streamed,
		chat:       spec.GetRoute() == routeChat,
		queue:      make(chan stream.Effect, outputQueueSize),
		firstChunk: from == 0,
	}
}

// continueAfter sets the current event id to that of the last event the caller received.
// before holds the bytes of the tokens up to and including its index.
func (o *output) continueAfter(id stream.EventID, before [][]byte) {
	o.eventID = id
	o.hasEventID = true
	o.resumable.Store(true)
	for _, token := range before {
		text, _ := o.joiner.Add(token)
		o.textChecksum = stream.TextChecksum(o.textChecksum, text)
	}
	// Only the event id of a final chunk can follow an incomplete character, whose bytes
	// were flushed with that chunk.
	o.textChecksum = stream.TextChecksum(o.textChecksum, o.joiner.Flush())
}

// run writes effects until the queue is closed. It calls onDelivered after each Deliver
// and onWriteError after the first failed write; later effects are dropped.
func (o *output) run(onDelivered, onWriteError func()) {
	failed := false
	for effect := range o.queue {
		if failed {
			continue
		}
		err := o.writeEffect(effect)
		if _, ok := effect.(stream.Deliver); ok {
			onDelivered()
		}
		if err != nil {
			failed = true
			onWriteError()
		}
	}
}

func (o *output) writeEffect(effect stream.Effect) error {
	switch e := effect.(type) {
	case stream.Deliver:
		return o.deliver(e)
	case stream.Finish:
		return o.finish(e)
	}
	return nil
}

func (o *output) deliver(d stream.Deliver) error {
	var text strings.Builder
	idAdvanced := false
	for i, token := range d.Bytes {
		part, complete := o.joiner.Add(token)
		text.WriteString(part)
		if complete {
			idAdvanced = true
			o.hasEventID = true
			o.eventID = stream.EventID{
				Generation:  o.spec.GetGeneration(),
				Agent:       d.Address,
				Attempt:     d.Attempt,
				Incarnation: d.Incarnation,
				Index:       d.First + uint64(i),
			}
		}
	}
	o.textChecksum = stream.TextChecksum(o.textChecksum, text.String())
	if !o.streamed {
		o.text.WriteString(text.String())
		return nil
	}
	if !idAdvanced {
		return nil
	}
	return o.writeEvent(o.chunk(text.String(), nil))
}

func (o *output) finish(finish stream.Finish) error {
	if finish.Code != result.OK {
		return o.fail(result.New(finish.Code, "the generation ended after %d tokens", finish.Tokens))
	}
	remaining := o.joiner.Flush()
	o.textChecksum = stream.TextChecksum(o.textChecksum, remaining)
	if !o.streamed {
		return o.writeWhole(remaining, finish)
	}
	final := o.chunk(remaining, &finish.Reason)
	final.Bramleygap = o.extension(finish)
	if o.hasEventID && finish.Tokens > 0 {
		o.eventID.Index = finish.Tokens - 1
	}
	if err := o.writeEvent(final); err != nil {
		return err
	}
	return o.send([]byte("data: [DONE]\n\n"))
}

func (o *output) extension(finish stream.Finish) *extension {
	return &extension{Generation: o.spec.GetGeneration(), Tokens: finish.Tokens, Checksum: finish.Checksum, TextChecksum: o.textChecksum}
}

func (o *output) fail(err *result.Error) error {
	if !o.started {
		o.started = true
		o.refusals.Write(o.writer, err)
		return nil
	}
	o.refusals.Count(err.Code)
	data, marshalErr := json.Marshal(caller.NewErrorBody(err))
	if marshalErr != nil {
		return marshalErr
	}
	return o.send([]byte("event: error\ndata: " + string(data) + "\n\n"))
}

func (o *output) chunk(text string, finishReason *string) chunk {
	c := chunk{
		ID:      o.spec.GetGeneration(),
		Object:  "text_completion",
		Created: o.spec.GetStartedUnixMs() / 1000,
		Model:   o.spec.GetService(),
	}
	part := choice{FinishReason: finishReason}
	if o.chat {
		c.Object = "chat.completion.chunk"
		part.Delta = &chatText{Content: text}
		if o.firstChunk {
			part.Delta.Role = "assistant"
		}
	} else {
		part.Text = &text
	}
	o.firstChunk = false
	c.Choices = []choice{part}
	return c
}

func (o *output) writeEvent(c chunk) error {
	data, err := json.Marshal(c)
	if err != nil {
		return err
	}
	var event bytes.Buffer
	if o.hasEventID {
		event.WriteString("id: " + o.eventID.String() + "\n")
	}
	event.WriteString("data: ")
	event.Write(data)
	event.WriteString("\n\n")
	if !o.started {
		o.started = true
		o.writer.Header().Set("Content-Type", "text/event-stream")
		o.writer.Header().Set("Cache-Control", "no-cache")
		o.writer.WriteHeader(http.StatusOK)
	}
	o.resumable.Store(o.hasEventID)
	return o.send(event.Bytes())
}

func (o *output) send(data []byte) error {
	// The error is ignored: the state machine bounds writes to a writer without deadlines.
	_ = o.controller.SetWriteDeadline(time.Now().Add(writeTimeout))
	if o.aborted.Load() {
		return errAborted
	}
	if _, err := o.writer.Write(data); err != nil {
		return err
	}
	return o.controller.Flush()
}

// abort makes a blocked write return and later writes fail. It is safe to call from any
// goroutine.
func (o *output) abort() {
	o.aborted.Store(true)
	_ = o.controller.SetWriteDeadline(time.Now())
}

func (o *output) writeWhole(remaining string, finish stream.Finish) error {
	text := o.text.String() + remaining
	c := o.chunk(text, &finish.Reason)
	if o.chat {
		c.Object = "chat.completion"
		c.Choices[0].Delta = nil
		c.Choices[0].Message = &chatText{Role: "assistant", Content: text}
	}
	c.Bramleygap = o.extension(finish)
	c.Usage = &usage{
		PromptTokens:     len(o.spec.GetPromptTokenIds()),
		CompletionTokens: finish.Tokens,
		TotalTokens:      uint64(len(o.spec.GetPromptTokenIds())) + finish.Tokens,
	}
	data, err := json.Marshal(c)
	if err != nil {
		return err
	}
	o.started = true
	o.writer.Header().Set("Content-Type", "application/json")
	o.writer.Header().Set("Content-Length", strconv.Itoa(len(data)))
	o.writer.WriteHeader(http.StatusOK)
	return o.send(data)
}
