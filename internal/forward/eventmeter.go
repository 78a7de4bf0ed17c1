package forward

// eventMeter counts the bytes of a stream since the end of its latest event. Blank lines and comments end no event.
type eventMeter struct {
	bytes int
	// afterCR is true after a CR, which a LF may follow as part of the same line end.
	afterCR bool
	// inLine is true once the current line has a byte, inComment if that is the beginning of a comment.
	inLine, inComment bool
	// hasField is true once the current event has a line that isn't a comment.
	hasField bool
}

// add counts received bytes and returns the number of those since the end of the latest event.
func (m *eventMeter) add(data []byte) int {
	for _, b := range data {
		m.bytes++
		switch {
		case b == '\n' && m.afterCR:
			m.afterCR = false
		case b == '\n' || b == '\r':
			m.afterCR = b == '\r'
			m.endLine()
		default:
			if !m.inLine {
				m.inLine, m.inComment = true, b == ':'
			}
			m.afterCR = false
		}
	}
	return m.bytes
}

func (m *eventMeter) endLine() {
	switch {
	case m.inLine:
		m.hasField = m.hasField || !m.inComment
	case m.hasField:
		m.bytes, m.hasField = 0, false
	}
	m.inLine = false
}
