package generations

import (
	"net/http"

	"bramleygap/internal/result"
)

const lastEventIDHeader = "Last-Event-ID"

func (h *Handler) resume(w http.ResponseWriter, r *http.Request) {
	h.options.Refusals.Write(w, result.New(result.ResumeLost, "resume is not available"))
}
