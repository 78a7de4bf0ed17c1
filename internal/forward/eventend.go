package forward

// lineEndLength is the length of the longest line terminator of an event stream, CR LF.
const lineEndLength = 2

// lastBytes appends data to tail and returns as many of the last bytes as endsWithBlankLine needs.
func lastBytes(tail, data []byte) []byte {
	const needed = lineEndLength + 1
	if len(data) > needed {
		tail, data = tail[:0], data[len(data)-needed:]
	}
	tail = append(tail, data...)
	return append(tail[:0], tail[max(len(tail)-needed, 0):]...)
}

// endsWithBlankLine reports whether a stream with these last bytes ends between two events. Lines end with LF, CR or
// CR LF.
func endsWithBlankLine(tail []byte) bool {
	rest := withoutLineEnd(tail)
	return len(rest) < len(tail) && len(withoutLineEnd(rest)) < len(rest)
}

func withoutLineEnd(text []byte) []byte {
	length := len(text)
	if length > 0 && text[length-1] == '\n' {
		length--
		if length > 0 && text[length-1] == '\r' {
			length--
		}
	} else if length > 0 && text[length-1] == '\r' {
		length--
	}
	return text[:length]
}
