package thriftwire

// mediaType begins the media type of a body; the form's name follows.
const mediaType = "application/vnd.apache.thrift"

// formNames has the words for every form: as an operator writes it, and as a body's media type.
var formNames = []struct {
	Form
	name, media string
}{
	{Form{Binary, false}, "binary", mediaType + ".binary"},
	{Form{Binary, true}, "framed-binary", mediaType + ".binary; framed"},
	{Form{OldBinary, false}, "old-binary", mediaType + ".binary; old"},
	{Form{OldBinary, true}, "framed-old-binary", mediaType + ".binary; framed; old"},
	{Form{Compact, false}, "compact", mediaType + ".compact"},
	{Form{Compact, true}, "framed-compact", mediaType + ".compact; framed"},
}

// ParseForm returns the form of a name such as "framed-binary".
func ParseForm(name string) (Form, bool) {
	for _, f := range formNames {
		if f.name == name {
			return f.Form, true
		}
	}
	return Form{}, false
}

// MediaType names the form where no Thrift type is known. Each form has one of its own.
func (f Form) MediaType() string {
	for i := range formNames {
		if formNames[i].Form == f {
			return formNames[i].media
		}
	}
	return ""
}

// ParseMediaType returns the form that a MediaType names.
func ParseMediaType(media string) (Form, bool) {
	for i := range formNames {
		if formNames[i].media == media {
			return formNames[i].Form, true
		}
	}
	return Form{}, false
}

// String is "call", "reply", "exception" or "oneway".
func (k Kind) String() string {
	switch k {
	case Call:
		return "call"
	case Reply:
		return "reply"
	case Exception:
		return "exception"
	case Oneway:
		return "oneway"
	}
	return "unknown"
}
