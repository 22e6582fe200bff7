//! Log lines on standard error: time, level, text. The level comes from the command line.

use simplelog::{ConfigBuilder, LevelFilter, WriteLogger};

/// Starts logging.
pub fn start(level: LevelFilter) {
    let config = ConfigBuilder::new()
        .set_time_level(LevelFilter::Off)
        .set_thread_level(LevelFilter::Off)
        .set_target_level(LevelFilter::Off)
        .set_location_level(LevelFilter::Off)
        .build();
    let _ = WriteLogger::init(level, config, std::io::stderr());
}
