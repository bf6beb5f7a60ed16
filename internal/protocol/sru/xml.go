package sru

import (
	"encoding/xml"
	"errors"
	"fmt"
	"io"
	"strings"
)

// XMLHeader is the XML declaration that every document starts with.
const XMLHeader = `<?xml version="1.0" encoding="UTF-8"?>` + "\n"

// maxDepth is the maximum nesting depth of elements.
const maxDepth = 32

// element is an XML element of any name.
type element struct {
	XMLName  xml.Name
	Attrs    []xml.Attr `xml:",any,attr"`
	Inner    string     `xml:",innerxml"`
	Text     string     `xml:",chardata"`
	Children []element  `xml:",any"`
}

// child returns the first child with a local name, in any namespace; nil if there is none.
func (e *element) child(name string) *element {
	for i := range e.Children {
		if e.Children[i].XMLName.Local == name {
			return &e.Children[i]
		}
	}
	return nil
}

// text returns the text of the descendant at a path of local names, empty if there is none.
func (e *element) text(path ...string) string {
	for _, name := range path {
		if e = e.child(name); e == nil {
			return ""
		}
	}
	return strings.TrimSpace(e.Text)
}

// recordData returns the data of a record: the text if the record is packed as a string, else the markup with the
// namespace declarations that it needs. path contains the elements from the root to the record.
func recordData(path ...*element) string {
	record := path[len(path)-1]
	data := record.child("recordData")
	if data == nil {
		return ""
	}
	if record.text("recordPacking") == PackingString {
		return strings.TrimSpace(data.Text)
	}
	return markup(append(path, data)...)
}

// markup returns the markup inside the last element of a path. If the markup uses namespace prefixes that an element of
// the path declares, the declarations are added to its first element, so that it is valid outside the document.
func markup(path ...*element) string {
	text := strings.TrimSpace(path[len(path)-1].Inner)
	nameEnd := strings.IndexAny(text, "> /\t\r\n")
	if !strings.HasPrefix(text, "<") || nameEnd < 2 || text[1] == '!' || text[1] == '?' {
		return text
	}
	tag, _, _ := strings.Cut(text, ">")
	namespaces := map[string]string{} // by prefix; the innermost declaration applies
	var prefixes []string
	for _, e := range path {
		for _, attribute := range e.Attrs {
			if attribute.Name.Space != "xmlns" {
				continue
			}
			prefix := attribute.Name.Local
			if _, declared := namespaces[prefix]; !declared {
				prefixes = append(prefixes, prefix)
			}
			namespaces[prefix] = attribute.Value
		}
	}
	declarations := ""
	for _, prefix := range prefixes {
		if !strings.Contains(tag, "xmlns:"+prefix+"=") && strings.Contains(text, prefix+":") {
			declarations += fmt.Sprintf(` xmlns:%s="%s"`, prefix, EscapeText(namespaces[prefix]))
		}
	}
	return text[:nameEnd] + declarations + text[nameEnd:]
}

// parseXML parses a document and returns its root element, or the message in it if it is a SOAP envelope. It rejects
// deeply nested elements, which would lead to unbounded recursion, and document types, which would allow entity
// expansion.
func parseXML(text []byte) (*element, error) {
	if err := checkXML(text); err != nil {
		return nil, err
	}
	var root element
	if err := xml.Unmarshal(text, &root); err != nil {
		return nil, err
	}
	if root.XMLName.Local == "Envelope" {
		body := root.child("Body")
		if body == nil || len(body.Children) != 1 {
			return nil, errors.New("an envelope without one message")
		}
		return &body.Children[0], nil
	}
	return &root, nil
}

// checkXML returns an error if a document is not well-formed, nested over maxDepth, or has a document type.
func checkXML(text []byte) error {
	decoder := xml.NewDecoder(strings.NewReader(string(text)))
	for depth := 0; ; {
		token, err := decoder.Token()
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		switch token.(type) {
		case xml.StartElement:
			depth++
			if depth > maxDepth {
				return fmt.Errorf("elements nested over %d deep", maxDepth)
			}
		case xml.EndElement:
			depth--
		case xml.Directive:
			return errors.New("a document type is not taken")
		}
	}
}

// EscapeText escapes text for use in an XML element or attribute.
func EscapeText(s string) string {
	var b strings.Builder
	_ = xml.EscapeText(&b, []byte(s)) // writing to a strings.Builder does not fail
	return b.String()
}
