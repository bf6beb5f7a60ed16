package sru

import (
	"encoding/xml"
	"errors"
	"fmt"
	"io"
	"strings"
)

// XMLHeader begins every document.
const XMLHeader = `<?xml version="1.0" encoding="UTF-8"?>` + "\n"

// maxDepth is the depth to which elements may be nested.
const maxDepth = 32

// element is any XML element.
type element struct {
	XMLName  xml.Name
	Attrs    []xml.Attr `xml:",any,attr"`
	Inner    string     `xml:",innerxml"`
	Text     string     `xml:",chardata"`
	Children []element  `xml:",any"`
}

// child returns the first child of a name, in any namespace; nil if there is none.
func (e *element) child(name string) *element {
	for i := range e.Children {
		if e.Children[i].XMLName.Local == name {
			return &e.Children[i]
		}
	}
	return nil
}

// text returns the text of the element at the end of a path of names, empty if there is none.
func (e *element) text(path ...string) string {
	for _, name := range path {
		if e = e.child(name); e == nil {
			return ""
		}
	}
	return strings.TrimSpace(e.Text)
}

// recordData returns the data of a record: the text in it if it is packed as a string, else the markup, in which the
// prefixes that are declared around it are declared again. path leads from the root to the record.
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

// markup returns the markup inside the element at the end of a path. Namespace prefixes that an element of the path
// declares and the markup uses are declared on its first element, so that it can stand on its own.
func markup(path ...*element) string {
	text := strings.TrimSpace(path[len(path)-1].Inner)
	nameEnd := strings.IndexAny(text, "> /\t\r\n")
	if !strings.HasPrefix(text, "<") || nameEnd < 2 || text[1] == '!' || text[1] == '?' {
		return text
	}
	tag, _, _ := strings.Cut(text, ">")
	namespaces := map[string]string{} // by prefix; the innermost declaration counts
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

// parseXML reads a document, and returns the message in it if it is a SOAP envelope. It rejects deeply nested elements and
// document types, which guards against unbounded recursion and against entities that expand.
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

// checkXML returns an error if a document is not well-formed or not within the limits.
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

// EscapeText escapes a text for XML, in an element or in an attribute.
func EscapeText(s string) string {
	var b strings.Builder
	_ = xml.EscapeText(&b, []byte(s)) // a strings.Builder does not fail
	return b.String()
}
