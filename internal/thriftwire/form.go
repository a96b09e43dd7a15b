package thriftwire

// mediaType is the prefix of a body's media type.
const mediaType = "application/vnd.apache.thrift"

// formNames are the names of every form: in the operator's file, and as a body's media type.
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

// MediaType is the form's name in code that knows no Thrift. It is different for each form.
func (f Form) MediaType() string {
	for i := range formNames {
		if formNames[i].Form == f {
			return formNames[i].media
		}
	}
	return ""
}

// ParseMediaType returns the form of a MediaType.
func ParseMediaType(media string) (Form, bool) {
	for i := range formNames {
		if formNames[i].media == media {
			return formNames[i].Form, true
		}
	}
	return Form{}, false
}

// String returns "call", "reply", "exception", "oneway" or "unknown".
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
