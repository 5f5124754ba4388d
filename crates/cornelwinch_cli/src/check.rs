use std::io::Write;

use cornelwinch_config::{Document, Settings};
use snafu::ResultExt;

use crate::args::CheckArgs;
use crate::current::{Current, client, print, read};
use crate::error::{CliError, DocumentSnafu, FileSnafu};

/// Checks a settings file or a configuration document.
pub(crate) fn run(args: &CheckArgs, out: &mut impl Write) -> Result<bool, CliError> {
    let text = read(&args.file)?;
    let file = args.file.display().to_string();
    let text = if Document::is_document(&text) {
        let document = Document::parse(&file, &text).context(FileSnafu)?;
        let count = document.entries.len();
        match args.platform {
            Some(platform) => {
                check_against(&document, &Current::load(&client(platform))?)?;
                format!("{file}: {count} entries are valid\n")
            }
            None => format!("{file}: {count} entries are valid; references were not checked\n"),
        }
    } else {
        let settings = Settings::parse(&file, &text).context(FileSnafu)?;
        format!("{file}: settings of host {} are valid\n", settings.host)
    };
    print(out, &text)?;
    Ok(true)
}

/// Checks a document against the configuration on the platform.
pub(crate) fn check_against(document: &Document, current: &Current) -> Result<(), CliError> {
    match document.validate(&current.state) {
        Ok(()) => Ok(()),
        Err(problems) => DocumentSnafu { problems }.fail(),
    }
}
