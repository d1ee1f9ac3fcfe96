package target

const (
	// maxHeadBytes limits what a target sends before the body of a response: interim responses,
	// status line and header.
	maxHeadBytes = 64 << 10
	// maxHeadLines limits the lines of that. A parsed line occupies some hundred bytes, however short it
	// is, so that 64 KiB of short lines would occupy megabytes. Targets send 20 lines or so.
	maxHeadLines = 256
	// headMemoryFactor is what a head occupies while it is parsed, as a multiple of its bytes: the buffer
	// of the line that is being read, which grows by doubling, and the parsed strings.
	headMemoryFactor = 4
)

// headScanner finds the end of a response head in the bytes as they arrive, before they are parsed,
// and counts bytes and lines until then.
type headScanner struct {
	bytes, lines int
	// lineLength is the length of the current line so far, and last its last byte.
	lineLength int
	last       byte
	// statusLine is set while the current line is a status line, and interim once it has the status of
	// an interim response, after which another head follows.
	statusLine, interim bool
	ended               bool
}

func newHeadScanner() headScanner { return headScanner{statusLine: true} }

// statusClassIndex is the position of the first digit of the status in "HTTP/1.1 200 OK".
const statusClassIndex = len("HTTP/1.1 ")

// scan processes the next bytes from the target. It returns ErrHeadTooLong if the head exceeds a limit.
// Bytes after the head are not counted.
func (s *headScanner) scan(data []byte) error {
	for _, b := range data {
		if s.ended {
			return nil
		}
		s.bytes++
		if b == '\n' {
			s.endLine()
		} else {
			if s.statusLine && s.lineLength == statusClassIndex {
				s.interim = b == '1'
			}
			s.lineLength++
		}
		s.last = b
		if s.bytes > maxHeadBytes || s.lines > maxHeadLines {
			return ErrHeadTooLong
		}
	}
	return nil
}

func (s *headScanner) endLine() {
	s.lines++
	empty := s.lineLength == 0 || s.lineLength == 1 && s.last == '\r'
	s.lineLength = 0
	switch {
	case !empty:
		s.statusLine = false
	case s.interim:
		s.statusLine, s.interim = true, false
	default:
		s.ended = true
	}
}
