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
	// writeTimeout ends a write to a caller that accepts nothing.
	writeTimeout = 60 * time.Second
	// outputQueue holds all Deliver effects that may wait and the Finish effect.
	outputQueue = stream.MaxBuffered + 2
)

var errAborted = errors.New("response aborted")

// extension is the object bramleygap of the final chunk.
type extension struct {
	Generation string `json:"generation"`
	Tokens     uint64 `json:"tokens"`
	Checksum   uint32 `json:"checksum"`
	// TextChecksum is the CRC-32C over the UTF-8 text of the whole generation, over all connections.
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

// output writes the response of one request. Its task run owns the response writer.
type output struct {
	writer     http.ResponseWriter
	controller *http.ResponseController
	refusals   *caller.Refusals
	spec       *wire.GenerationSpec
	streamed   bool
	chat       bool
	queue      chan stream.Effect // Deliver and Finish
	// resumable is set once the caller was sent an event id.
	resumable atomic.Bool
	aborted   atomic.Bool

	joiner  stream.TextJoiner
	textSum uint32          // TextChecksum of the text so far
	text    strings.Builder // whole response only
	started bool            // response headers were sent
	first   bool            // the next chunk is the generation's first one
	id      stream.EventID
	hasID   bool
}

func (h *Handler) newOutput(w http.ResponseWriter, spec *wire.GenerationSpec, streamed bool, from uint64) *output {
	return &output{
		writer:     w,
		controller: http.NewResponseController(w),
		refusals:   h.options.Refusals,
		spec:       spec,
		streamed:   streamed,
		chat:       spec.GetRoute() == routeChat,
		queue:      make(chan stream.Effect, outputQueue),
		first:      from == 0,
	}
}

// continueAfter makes the position that the caller already has the current event id.
// before are the bytes of the tokens up to it.
func (o *output) continueAfter(id stream.EventID, before [][]byte) {
	o.id = id
	o.hasID = true
	o.resumable.Store(true)
	for _, token := range before {
		text, _ := o.joiner.Add(token)
		o.textSum = stream.TextChecksum(o.textSum, text)
	}
	// Only the id of a final chunk lies inside a character; its text was flushed there.
	o.textSum = stream.TextChecksum(o.textSum, o.joiner.Flush())
}

// run writes effects until the queue is closed. taken is called after each Deliver;
// gone after a failed write, when the rest of the queue is dropped.
func (o *output) run(taken, gone func()) {
	failed := false
	for effect := range o.queue {
		if failed {
			continue
		}
		err := o.write(effect)
		if _, ok := effect.(stream.Deliver); ok {
			taken()
		}
		if err != nil {
			failed = true
			gone()
		}
	}
}

func (o *output) write(effect stream.Effect) error {
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
	complete := false
	for i, token := range d.Bytes {
		part, whole := o.joiner.Add(token)
		text.WriteString(part)
		if whole {
			complete = true
			o.hasID = true
			o.id = stream.EventID{
				Generation:  o.spec.GetGeneration(),
				Agent:       d.Address,
				Attempt:     d.Attempt,
				Incarnation: d.Incarnation,
				Index:       d.First + uint64(i),
			}
		}
	}
	o.textSum = stream.TextChecksum(o.textSum, text.String())
	if !o.streamed {
		o.text.WriteString(text.String())
		return nil
	}
	if !complete {
		return nil
	}
	return o.event(o.chunk(text.String(), nil))
}

func (o *output) finish(f stream.Finish) error {
	if f.Code != result.OK {
		return o.fail(result.New(f.Code, "the generation ended after %d tokens", f.Tokens))
	}
	rest := o.joiner.Flush()
	o.textSum = stream.TextChecksum(o.textSum, rest)
	if !o.streamed {
		return o.whole(rest, f)
	}
	final := o.chunk(rest, &f.Reason)
	final.Bramleygap = o.extension(f)
	if o.hasID && f.Tokens > 0 {
		o.id.Index = f.Tokens - 1
	}
	if err := o.event(final); err != nil {
		return err
	}
	return o.send([]byte("data: [DONE]\n\n"))
}

func (o *output) extension(f stream.Finish) *extension {
	return &extension{Generation: o.spec.GetGeneration(), Tokens: f.Tokens, Checksum: f.Checksum, TextChecksum: o.textSum}
}

func (o *output) fail(err *result.Error) error {
	if !o.started {
		o.started = true
		o.refusals.Write(o.writer, err)
		return nil
	}
	o.refusals.Count(err.Code)
	data, marshalErr := json.Marshal(caller.BodyOf(err))
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
		if o.first {
			part.Delta.Role = "assistant"
		}
	} else {
		part.Text = &text
	}
	o.first = false
	c.Choices = []choice{part}
	return c
}

func (o *output) event(c chunk) error {
	data, err := json.Marshal(c)
	if err != nil {
		return err
	}
	var event bytes.Buffer
	if o.hasID {
		event.WriteString("id: " + o.id.String() + "\n")
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
	o.resumable.Store(o.hasID)
	return o.send(event.Bytes())
}

func (o *output) send(data []byte) error {
	// Writers without deadlines are bounded by the state machine alone.
	_ = o.controller.SetWriteDeadline(time.Now().Add(writeTimeout))
	if o.aborted.Load() {
		return errAborted
	}
	if _, err := o.writer.Write(data); err != nil {
		return err
	}
	return o.controller.Flush()
}

// abort makes a blocked write return and later ones fail. It may be called by another task.
func (o *output) abort() {
	o.aborted.Store(true)
	_ = o.controller.SetWriteDeadline(time.Now())
}

func (o *output) whole(rest string, f stream.Finish) error {
	text := o.text.String() + rest
	c := o.chunk(text, &f.Reason)
	if o.chat {
		c.Object = "chat.completion"
		c.Choices[0].Delta = nil
		c.Choices[0].Message = &chatText{Role: "assistant", Content: text}
	}
	c.Bramleygap = o.extension(f)
	c.Usage = &usage{
		PromptTokens:     len(o.spec.GetPromptTokenIds()),
		CompletionTokens: f.Tokens,
		TotalTokens:      uint64(len(o.spec.GetPromptTokenIds())) + f.Tokens,
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
