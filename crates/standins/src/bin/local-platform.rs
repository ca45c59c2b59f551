//! Runs the platform's stand-ins by themselves and writes settings for daemons before them.

use std::path::PathBuf;

use clap::Parser;
use teaselcroft_standins::{OPERATOR_KEY, Runtime, Site, StandIns, World, customer_key, list_daemons, plan_daemons};

const CUSTOMERS: [&str; 2] = ["c1", "c2"];

/// Runs the platform's stand-ins by themselves and writes settings for daemons before them.
#[derive(Debug, Parser)]
#[command(name = "local-platform", version)]
struct Arguments {
    /// The site: reservoir or library.
    #[arg(long, default_value = "reservoir")]
    site: Site,

    /// Daemons to write settings for.
    #[arg(long, default_value_t = 3)]
    daemons: usize,

    /// Where to write the settings.
    #[arg(long, value_name = "FOLDER")]
    folder: PathBuf,

    /// How long to run, in seconds.
    #[arg(long, default_value_t = 3_600)]
    seconds: u64,
}

fn run(arguments: &Arguments) -> Result<(), Box<dyn std::error::Error>> {
    let runtime = Runtime::start()?;
    let world = std::sync::Arc::new(World::new(runtime.executor()));
    let standins = smol::block_on(StandIns::start(&world, arguments.site))?;
    let (store, vms) = (standins.store_line.address, standins.vm_line.address);
    let customers = CUSTOMERS.map(str::to_owned);
    let plans = plan_daemons(arguments.site, arguments.daemons, store, vms, &customers)?;
    list_daemons(&world, &plans)?;
    std::fs::create_dir_all(&arguments.folder)?;
    for plan in &plans {
        std::fs::write(arguments.folder.join(format!("{}.yaml", plan.name)), &plan.settings)?;
    }
    let addresses: Vec<String> = plans.iter().map(|plan| plan.listen.to_string()).collect();
    let environment = format!(
        "export TEASELCROFT_DAEMONS={}\nexport TEASELCROFT_KEY={OPERATOR_KEY}\nexport CUSTOMER_KEY={}\n",
        addresses.join(","),
        customer_key(CUSTOMERS[0])
    );
    std::fs::write(arguments.folder.join("environment"), environment)?;
    println!("the stand-ins run; settings are in {}", arguments.folder.display());
    std::thread::sleep(std::time::Duration::from_secs(arguments.seconds));
    Ok(())
}

fn main() -> std::process::ExitCode {
    match run(&Arguments::parse()) {
        Ok(()) => std::process::ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("local-platform: {error}");
            std::process::ExitCode::FAILURE
        }
    }
}
